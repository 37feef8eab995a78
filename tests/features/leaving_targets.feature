Feature: A leaving target gets no new work
  A target may be listed as leaving, drained by an edit, or say so itself.

  Scenario Outline: An engine leaves because <reason>
    Given two routers before two engines
    And callers that keep both engines busy through both routers
    When engine-a1 leaves because <reason>
    Then 3 seconds later engine-a1 gets no new work while callers are served
    And the callers' answers were whole
    When engine-a1 is back
    Then engine-a1 gets work again

    Examples:
      | reason                     |
      | the list of VMs says so    |
      | the configuration drains it |
      | it says so itself          |
