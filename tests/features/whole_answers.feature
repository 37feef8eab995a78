Feature: Every caller gets the complete answer to its own request
  Each answer is compared with the text that the target generates for that request. The
  field "ran" of an error tells whether the call ran: "no" or "maybe".

  Background:
    Given a router in front of two engines and two application servers

  Scenario: An engine drops a stream and offers to resume it
    Given the engines drop the next stream after 3 tokens
    When a caller requests a stream
    Then the caller gets the complete text
    And the engines ran it once

  Scenario: An engine cancels a run and cannot resume it
    When a caller requests a stream that its engine cancels halfway
    Then the caller gets an error event and no end-of-stream event

  Scenario Outline: Each connection from an engine is cut after <count> bytes
    Given each connection from the engines is cut after <count> bytes
    When a caller requests <form>
    Then the caller can tell that the answer is incomplete

    Examples:
      | form                  | count |
      | a stream              | 40    |
      | a stream              | 700   |
      | a non-streamed answer | 400   |

  Scenario: Many callers while the connections from the engines are cut repeatedly
    When 40 callers send requests while the connections from the engines are cut 10 times
    Then each caller gets its own complete answer or can tell that it is incomplete

  Scenario Outline: An application server's <framing> answer is cut
    Given an application server whose answers are <framing>
    And each connection from the application servers is cut after 150 bytes
    When a caller sends a booking
    Then the caller can tell that the answer is incomplete
    And the application servers ran the booking once

    Examples:
      | framing          |
      | length-delimited |
      | chunked          |

  Scenario Outline: An engine answers with the id of another request
    Given the engines answer the next request with another id
    When a caller requests <form>
    Then the caller gets the complete text

    Examples:
      | form                  |
      | a stream              |
      | a non-streamed answer |

  Scenario Outline: A caller disconnects while <form> is generated
    When a caller requests <form> and disconnects
    Then the engine's run is cancelled
    And the account is charged for it
    And no slot is busy

    Examples:
      | form                  |
      | a stream              |
      | a non-streamed answer |

  Scenario: A caller reads nothing of a long answer
    When a caller reads nothing of a very long answer
    Then no slot is busy
    And the caller can tell that the answer is incomplete

  Scenario: A booking's answer is lost after it ran
    Given the application servers run the next call and close the connection unanswered
    When a caller sends a booking
    Then the caller gets an error with ran="maybe"
    And the application servers ran the booking once

  Scenario: An application server refuses a booking without running it
    Given an application server refuses the next booking without running it
    When a caller sends a booking
    Then the caller gets the application server's answer
    And the application servers ran the booking once

  Scenario: All application servers refuse a booking without running it
    Given all application servers refuse bookings without running them
    When a caller sends a booking
    Then the caller gets an error with ran="no"
    And the application servers did not run the booking

  Scenario: A call that ran without an answer is then refused by all application servers
    Given the application servers run the next call and close the connection unanswered
    And all application servers refuse the calls after it
    When a caller requests /works
    Then the caller gets an error with ran="maybe"
