Feature: Routers learn which routers are alive from heartbeats, not from the VM list

  Background:
    Given three routers in three zones, two of which have an application server

  Scenario: The VM list names a dead router
    When the VM list names "router-x9", which does not run, for 5 seconds
    Then every router counted exactly the three routers as members throughout

  Scenario: The VM list lacks a live router
    When the VM list lacks "router-b1" for 8 seconds
    Then every router counted exactly the three routers as members throughout
    And each router answers a caller

  Scenario: A router is killed and restarted
    When "router-b1" is killed
    Then the others drop "router-b1" from their members within 10 seconds
    When "router-b1" is restarted
    Then every router counts the three routers as members within 10 seconds
    And every router knows the new incarnation of "router-b1" and not the old one

  Scenario: A router is paused for longer than heartbeats are valid
    When "router-b1" is paused for 12 seconds and resumed
    Then "router-b1" still counts the others as members
    And every router counts the three routers as members within 10 seconds

  Scenario: A zone is cut off from the other zones and from the platform
    When zone "a" is cut off from the other zones and from the platform
    Then the others drop "router-a1" from their members within 10 seconds
    And each router answers a caller
    When the cut ends
    Then every router counts the three routers as members within 10 seconds
    And each router answers a caller

  Scenario: A target leaves
    Given callers keep sending calls to all routers
    When the VM list says that the target in zone "a" is leaving
    Then 3 seconds later that target gets no new call for 3 seconds
    And every call succeeded

  Scenario: A router stops gracefully under calls
    Given callers send slow calls to all routers
    When "router-b1" is asked to stop
    Then each of these calls gets its complete answer
    And the others drop "router-b1" from their members within 3 seconds of its exit
