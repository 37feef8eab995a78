Feature: Every caller gets the whole answer to its own request
  Each answer is compared with what the target generates for that very request.

  Background:
    Given a router before two engines and two application servers

  Scenario: An engine drops a stream and offers to resume it
    Given the engines drop the next stream after 3 tokens
    When a caller asks for a stream
    Then the caller gets the whole text
    And the engines ran it once

  Scenario: An engine ends a run and can't resume it
    When a caller asks for a stream that its engine cancels half-way
    Then the caller sees an error event and no end mark

  Scenario Outline: The way from an engine is cut after each <count> bytes
    Given the way from the engines is cut after <count> bytes of each connection
    When a caller asks for <form>
    Then the caller sees that the answer is not whole

    Examples:
      | form                   | count |
      | a stream               | 40    |
      | a stream               | 700   |
      | an answer in one piece | 400   |

  Scenario: Many callers while the ways from the engines are cut again and again
    When 40 callers ask while the ways from the engines are cut 10 times
    Then each answer is the caller's own and whole, or its caller sees that it is not

  Scenario Outline: An application server's <framing> answer is cut
    Given an application server whose answers are <framing>
    And the way from the application servers is cut after 150 bytes of each connection
    When a caller sends a booking
    Then the caller sees that the answer is not whole
    And the journal shows the booking once

    Examples:
      | framing  |
      | counted  |
      | chunked  |

  Scenario Outline: An engine answers under another request's id
    Given the engines answer the next request under another id
    When a caller asks for <form>
    Then the caller gets the whole text

    Examples:
      | form                   |
      | a stream               |
      | an answer in one piece |

  Scenario Outline: A caller goes away while <form> is generated
    When a caller asks for <form> and goes away
    Then the engine's run is cancelled
    And the account is charged for it
    And no slot is busy

    Examples:
      | form                   |
      | a stream               |
      | an answer in one piece |

  Scenario: A caller reads nothing of a long answer
    When a caller reads nothing of a very long answer
    Then no slot is busy
    And the caller sees that the answer is not whole

  Scenario: A booking's answer is lost after it ran
    Given the application servers close the connection after the next run
    When a caller sends a booking
    Then the caller is refused with "maybe"
    And the journal shows the booking once

  Scenario: An application server refuses a booking without running it
    Given an application server refuses the next booking without running it
    When a caller sends a booking
    Then the caller gets the application server's answer
    And the journal shows the booking once

  Scenario: All application servers refuse a booking without running it
    Given all application servers refuse bookings without running them
    When a caller sends a booking
    Then the caller is refused with "no"
    And the journal does not show the booking

  Scenario: A call that ran without an answer is then refused everywhere
    Given the application servers close the connection after the next run
    And all application servers refuse what comes after it
    When a caller reads a work
    Then the caller is refused with "maybe"
