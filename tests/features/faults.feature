Feature: Faults that come together
  Each scenario prints how long the fleet took to recover.

  Background:
    Given routers in three zones, two of which have a booking service

  Scenario: A router is killed and starts again while the store is out
    When the store refuses all calls
    And "router-b1" is killed and started again
    Then "router-b1" is ready within 15 seconds with the others' configuration
    And each router refuses a keyed booking with "no"
    And each router answers a call that may be repeated
    When the store comes back
    Then each router takes a keyed booking again within 15 seconds
    And no booking has run twice

  Scenario: The store loses answers and a router is killed after the send
    Given the store loses the answers of the next 3 writes of claims
    When a booking that takes 2 seconds is sent by "router-b1", which is killed then
    Then the booking repeated at "router-a1" is refused with "maybe"
    And no booking has run twice
