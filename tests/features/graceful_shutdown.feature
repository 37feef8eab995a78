Feature: A graceful shutdown cuts off no request
  Callers come through a balancer that sends them to routers that say they are ready.

  Scenario: All routers are replaced one by one under load
    Given three routers before two engines and two application servers
    And 24 callers that ask for streams, answers in one piece and bookings all the time
    When each router is stopped, waited for and started anew, one after the other
    Then every answer was whole and the caller's own
    And no call was refused
    And no booking ran twice

  Scenario: A leaving router hands its duties over and still serves who waits there
    Given three routers before two engines and two application servers
    And 30 callers that wait at router-a1
    When router-a1 is told to stop
    Then the other routers are home of all targets between them
    And the leaving router is home of none
    And the callers of router-a1 are told to close their connections
    And every answer was whole and the caller's own
    And router-a1 ends by itself

  Scenario: A router is killed
    Given three routers before two engines and two application servers
    And 10 callers that read streams at router-a1 and 10 at router-b1
    When router-a1 is killed
    Then each caller of router-a1 sees an error
    And every answer of router-b1 was whole and the caller's own
    And the other routers are home of all targets between them
    And the engines end the runs of router-a1
