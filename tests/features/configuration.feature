Feature: An accepted edit takes effect on every router and is never reverted
  Operators edit one configuration file with the command line; three routers run in
  three zones.

  Scenario: An edit takes effect on every router
    Given three routers with an accepted configuration
    When an operator applies an edit and waits
    Then the command exits with done
    And the edit takes effect on every router

  Scenario: Two operators edit the same revision at the same time
    Given three routers with an accepted configuration
    When two operators apply different edits of the same revision at once, ten times
    Then each time one edit is accepted and shown to the other operator as a conflict

  Scenario: The store's answer is lost after the edit took effect
    Given three routers with an accepted configuration
    And the store drops the answer to the next write of the configuration head
    When an operator applies an edit and waits
    Then the command exits with done
    And the history shows the edit once

  Scenario: A router restarts while the routers are cut off from the store
    Given three routers with an accepted configuration
    And the routers are cut off from the store
    When router-b1 is killed and restarted
    Then router-b1 has the accepted revision from a peer and reports that it may be stale

  Scenario: An edit is accepted while the routers are cut off from the store
    Given three routers with an accepted configuration
    And the routers are cut off from the store
    When an operator applies an edit and waits half a second
    Then the command exits with not_everywhere
    And it names the three routers on which the edit has not taken effect
    When the store is reachable again
    Then the edit takes effect on every router

  Scenario: The store refuses calls for a while
    Given three routers with an accepted configuration
    And the store refuses all calls
    When an operator applies an edit and waits
    Then the command exits with failed
    And every router still has the previous revision
    When the store accepts calls again
    And the operator applies the edit again and waits
    Then the command exits with done
    And the history shows the edit once

  Scenario: A configuration file with faults
    Given three routers with an accepted configuration
    When an operator applies a configuration file with five faults
    Then the command exits with faults
    And each of the five faults is shown with its line and a remedy
    And every router still has the previous revision
