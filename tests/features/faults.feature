Feature: Simultaneous faults
  Each scenario prints how long the fleet took to recover. The field "ran" of an error
  tells whether the call ran: "no" or "maybe".

  Background:
    Given routers in three zones, two of which have a booking service

  Scenario: A router is killed and restarted while the store is unavailable
    When the store refuses all calls
    And "router-b1" is killed and restarted
    Then "router-b1" is ready within 15 seconds with the others' configuration
    And each router rejects a booking with ran="no" and none runs
    And each router answers a call that may be retried
    When the store is available again
    Then each router accepts a booking again within 15 seconds
    And no booking has run more than once

  Scenario: The store drops answers and a router is killed after it sent a booking
    Given the store drops the answers to the next 3 writes of claims
    When "router-b1" sends a booking that takes 2 seconds and is killed while it runs
    Then a retry of the booking at "router-a1" is rejected with ran="maybe"
    And no booking has run more than once
