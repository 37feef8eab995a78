Feature: Routers that are cut off from the platform keep serving
  Two zones, each with two routers, an engine and an application server.

  Scenario: A zone is cut off from the platform
    Given two zones with two routers each
    When zone a is cut off from the platform
    Then callers are served at every router
    When the cut ends
    Then all routers know each other and reach the store again
    And the calls to the store stayed within its rate limits
    And each target has one home router again and callers are served

  Scenario: A router starts while the store is unavailable
    Given two zones with two routers each
    And revision 2 is in force
    When the store refuses all calls and router-a2 is killed and restarted
    Then router-a2 has revision 2 and reports that it may be stale
    And router-a2 serves callers
    When the store is available again but returns stale reads
    Then every router keeps revision 2 for 3 seconds
    When the store returns current reads
    Then router-a2 no longer reports that its configuration may be stale
