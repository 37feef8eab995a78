Feature: A booking runs at most once
  The booking service's own journal is the judge: it records each call that it ran.

  Scenario: The same booking reaches two routers at the same moment
    Given two routers before a booking service
    When a caller sends ten bookings, each four times at once to both routers
    Then the journal shows each of these bookings once
    And each answer is the booking's own answer or says "maybe"

  Scenario: A booking is repeated at another router
    Given two routers before a booking service
    And a booking that was answered at router-a1
    When the caller repeats the booking at router-b1
    Then the caller gets the first answer again
    And the journal shows the booking once

  Scenario: A key is used again for another booking
    Given two routers before a booking service
    And a booking that was answered at router-a1
    When the caller sends another booking with the same key to router-b1
    Then the caller is refused with "no"
    And the journal shows the booking once

  Scenario: A router is killed after it sent a booking
    Given two routers before a booking service
    And a booking that takes 2 seconds and that router-a1 has sent
    When router-a1 is killed
    And the caller repeats the booking at router-b1
    Then the caller is refused with "maybe"
    And the journal shows the booking once

  Scenario: The service's answer is lost
    Given two routers before a booking service
    And the service closes the connection after it ran the next booking
    When a caller sends a booking to router-a1
    Then the caller is refused with "maybe"
    When the caller repeats the booking at router-b1
    Then the caller is refused with "maybe"
    And the journal shows the booking once

  Scenario: The service refuses a booking without running it
    Given two routers before a booking service
    And the service refuses bookings without running them
    When a caller sends a booking to router-a1
    Then the caller is refused with "no"
    When the service takes bookings again
    And the caller repeats the booking at router-b1 until it is taken
    Then the journal shows the booking once

  Scenario: The object store is out
    Given two routers before a booking service
    And the object store refuses all calls
    When a caller sends a booking to router-a1
    Then the caller is refused with "no"
    And the journal does not show the booking
    When a caller reads a work at router-a1
    Then the caller gets an answer

  Scenario: The object store hangs
    Given two routers before a booking service
    And the object store answers no call
    When a caller sends a booking to router-a1
    Then the caller is refused with "no" within 10 seconds
    And the journal does not show the booking

  Scenario: The object store's answers are lost after its writes took effect
    Given two routers before a booking service
    And the object store loses the answers of the next 2 writes of claims
    When a caller sends a booking to router-a1
    Then the caller gets an answer
    When the caller repeats the booking at router-b1
    Then the caller gets the first answer again
    And the journal shows the booking once

  Scenario: A router is stopped between its claim and the send
    Given two routers before a booking service
    And the object store's answers to router-a1 take 0.8 seconds
    When a caller sends a booking to router-a1
    And router-a1 is stopped as soon as its claim is in the store
    And router-a1 runs again after the deadline of its claim
    Then router-a1 answers "no"
    And the journal does not show the booking
    When the caller repeats the booking at router-b1 until it is taken
    Then the journal shows the booking once

  Scenario: A booking is repeated while the router that claimed it is stopped
    Given two routers before a booking service
    And the object store's answers to router-a1 take 0.8 seconds
    When a caller sends a booking to router-a1
    And router-a1 is stopped as soon as its claim is in the store
    And the caller repeats the booking at router-b1
    Then the caller is refused with "maybe"
    And the journal does not show the booking

  Scenario: The outcome of a booking outlives an outage of the store
    Given two routers before a booking service
    And a booking that takes 2 seconds and that router-a1 has sent
    When the object store refuses all calls until the booking is answered
    And the caller repeats the booking at router-b1 until it is answered
    Then the caller gets the first answer again
    And the journal shows the booking once
