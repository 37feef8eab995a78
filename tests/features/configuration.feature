Feature: An accepted edit holds everywhere and never reverts
  Operators edit one text with the command line, against three routers in three zones.

  Scenario: An edit comes into force on every router
    Given three routers with an accepted configuration
    When an operator applies an edit and waits
    Then the command ends with done
    And every router comes to have the edit in force

  Scenario: Two operators edit the same revision at the same moment
    Given three routers with an accepted configuration
    When two operators apply different edits of the same revision at once, ten times over
    Then each time one edit is accepted and the other operator is shown it

  Scenario: The store's answer is lost after the edit took effect
    Given three routers with an accepted configuration
    And the store loses the next answer about the head
    When an operator applies an edit and waits
    Then the command ends with done
    And the history shows the edit once

  Scenario: A router restarts while the store is cut off
    Given three routers with an accepted configuration
    And the routers are cut off from the store
    When router-b1 is killed and started again
    Then router-b1 has the accepted revision from a peer and says that it may be old

  Scenario: An edit is accepted while the routers are cut off from the store
    Given three routers with an accepted configuration
    And the routers are cut off from the store
    When an operator applies an edit and waits a moment
    Then the command ends with not_everywhere
    And it names the three routers that do not have the edit yet
    When the store is reached again
    Then every router comes to have the edit in force

  Scenario: The store refuses calls for a while
    Given three routers with an accepted configuration
    And the store refuses all calls
    When an operator applies an edit and waits
    Then the command ends with failed
    And every router still has the revision before
    When the store takes calls again
    And the operator applies the edit again and waits
    Then the command ends with done
    And the history shows the edit once

  Scenario: A text with faults
    Given three routers with an accepted configuration
    When an operator applies a text with five faults
    Then the command ends with faults
    And the five faults are shown with line and remedy
    And every router still has the revision before
