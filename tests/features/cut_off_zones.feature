Feature: Routers that are cut off from the platform go on serving
  Two zones, each with two routers, an engine and an application server.

  Scenario: A zone is cut off from the platform
    Given two zones with two routers each
    When zone a is cut off from the platform
    Then callers are served at every router
    When the cut ends
    Then all routers know each other and the store again
    And the calls to the store stayed under its rates
    And the zones share their targets again

  Scenario: A router starts while the store is out
    Given two zones with two routers each
    And revision 2 is in force
    When the store fails for all and router-a2 is replaced
    Then router-a2 has revision 2 and says that it may be old
    And router-a2 serves callers
    When the store is back but answers with old reads
    Then no router goes back behind revision 2
    When the store is well
    Then router-a2 no longer says that it may be old
