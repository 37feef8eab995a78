Feature: Routers know who is alive, whatever the VM list says

  Background:
    Given three routers in three zones, two of which have a service

  Scenario: The VM list names a dead router
    When the VM list names "router-x9", which is dead, for 5 seconds
    Then every router counts the three routers as members all the while

  Scenario: The VM list lacks a live router
    When the VM list lacks "router-b1" for 8 seconds
    Then every router counts the three routers as members all the while
    And each router answers a caller

  Scenario: A router is killed and started again
    When "router-b1" is killed
    Then the others lose "router-b1" within 10 seconds
    When "router-b1" is started again
    Then every router counts the three routers as members within 10 seconds
    And every router knows the new "router-b1" and not the former

  Scenario: A router is stopped for longer than heartbeats last
    When "router-b1" is stopped for 12 seconds and runs again
    Then "router-b1" has not lost the others
    And every router counts the three routers as members within 10 seconds

  Scenario: A zone is cut off from the others and from the platform
    When zone "a" is cut off from the others and from the platform
    Then the others lose "router-a1" within 10 seconds
    And each router answers a caller
    When the cut ends
    Then every router counts the three routers as members within 10 seconds
    And each router answers a caller

  Scenario: A target leaves
    Given callers send calls to all routers all the time
    When the VM list says that the target in zone "a" is leaving
    Then 3 seconds later that target gets no new call for 3 seconds
    And no caller was refused

  Scenario: A router stops gracefully under calls
    Given callers send slow calls to all routers
    When "router-b1" is told to stop
    Then every one of these calls gets its whole answer
    And the others lose "router-b1" within 3 seconds of its end
