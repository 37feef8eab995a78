Feature: A leaving target gets no new work
  A target leaves when the VM list says so, when an edit of the configuration drains it,
  or when it says so itself.

  Scenario Outline: An engine leaves because <reason>
    Given two routers in front of two engines
    And callers that keep both engines busy through both routers
    When engine-a1 leaves because <reason>
    Then 3 seconds later engine-a1 gets no new work while callers are served
    And every caller got its own complete answer
    When engine-a1 no longer leaves
    Then engine-a1 gets work again

    Examples:
      | reason                      |
      | the VM list says so         |
      | the configuration drains it |
      | it says so itself           |
