Feature: A graceful shutdown interrupts no request
  In the first scenario a load balancer sends each call to a router that reports ready;
  in the others the callers connect to given routers.

  Scenario: All routers are replaced one by one under load
    Given three routers in front of two engines and two application servers
    And 24 callers that keep requesting streams, non-streamed answers and bookings
    When the routers are stopped gracefully and restarted, one after the other
    Then every caller got its own complete answer
    And no call was refused
    And no booking ran more than once

  Scenario: A leaving router hands over its targets and still serves its waiting callers
    Given three routers in front of two engines and two application servers
    And 30 callers that wait at router-a1
    When router-a1 is asked to stop
    Then each target has one of the other routers as its home router
    And the leaving router is home router of no target while callers still wait there
    And the callers of router-a1 are told to close their connections
    And every caller got its own complete answer
    And router-a1 exits on its own

  Scenario: A router is killed
    Given three routers in front of two engines and two application servers
    And 10 callers with requests at router-a1 and 10 at router-b1
    When router-a1 is killed
    Then each caller of router-a1 sees whether its answer is complete, and some are not
    And every caller of router-b1 got its own complete answer
    And each target has one of the other routers as its home router
    And the engines cancel the runs of router-a1
