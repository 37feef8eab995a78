Feature: A booking runs at most once
  The booking service keeps a journal of the calls that it ran; the steps count runs
  there. The field "ran" of an error tells whether the call ran: "no" or "maybe".

  Scenario: The same booking reaches two routers at the same time
    Given two routers in front of a booking service
    When a caller sends ten bookings, each twice to both routers at the same time
    Then the service ran each of these bookings once
    And each answer is the booking's own or an error with ran="maybe"

  Scenario: A booking is retried at another router
    Given two routers in front of a booking service
    And a booking that router-a1 has answered
    When the caller retries the booking at router-b1 while its claim is held
    Then the caller gets the first answer again
    And the service ran the booking once

  Scenario: A booking is retried before its answer is in the store
    Given two routers in front of a booking service
    And the calls of router-a1 to the object store take 0.3 seconds
    When a caller sends a booking to router-a1
    Then the caller gets a successful answer
    When the caller retries the booking at router-b1
    Then the caller gets an error with ran="maybe"
    When the caller retries the booking at router-b1 while its claim is held
    Then the caller gets the first answer again
    And the service ran the booking once

  Scenario: An idempotency key is reused for another booking
    Given two routers in front of a booking service
    And a booking that router-a1 has answered
    When the caller sends another booking with the same key to router-b1
    Then the caller gets an error with ran="no"
    And the service ran the booking once

  Scenario: A router is killed after it sent a booking to the service
    Given two routers in front of a booking service
    And a booking that takes 2 seconds and that router-a1 has sent to the service
    When router-a1 is killed
    And the caller retries the booking at router-b1
    Then the caller gets an error with ran="maybe"
    And the service ran the booking once

  Scenario: The service's answer is lost
    Given two routers in front of a booking service
    And the service runs the next booking and closes the connection without an answer
    When a caller sends a booking to router-a1
    Then the caller gets an error with ran="maybe"
    When the caller retries the booking at router-b1
    Then the caller gets an error with ran="maybe"
    And the service ran the booking once

  Scenario: The service refuses a booking without running it
    Given two routers in front of a booking service
    And the service refuses bookings without running them
    When a caller sends a booking to router-a1
    Then the caller gets an error with ran="no"
    When the service accepts bookings again
    And the caller retries the booking at router-b1 until it succeeds
    Then the service ran the booking once

  Scenario: The object store is unavailable
    Given two routers in front of a booking service
    And the object store refuses all calls
    When a caller sends a booking to router-a1
    Then the caller gets an error with ran="no"
    And the service did not run the booking
    When a caller requests /works at router-a1
    Then the caller gets a successful answer

  Scenario: The object store hangs
    Given two routers in front of a booking service
    And the object store never answers
    When a caller sends a booking to router-a1
    Then the caller gets an error with ran="no" within 10 seconds
    And the service did not run the booking

  Scenario: The object store's answers are lost after its writes took effect
    Given two routers in front of a booking service
    And the object store drops the answers to the next 2 writes of claims
    When a caller sends a booking to router-a1
    Then the caller gets a successful answer
    When the caller retries the booking at router-b1 while its claim is held
    Then the caller gets the first answer again
    And the service ran the booking once

  Scenario: A router is paused between storing its claim and sending the booking
    Given two routers in front of a booking service
    And the object store's answers to router-a1 take 0.8 seconds
    When a caller sends a booking to router-a1
    And router-a1 is paused as soon as its claim is in the store
    And router-a1 is resumed after the send deadline of its claim
    Then router-a1 returns an error with ran="no"
    And the service did not run the booking
    When the caller retries the booking at router-b1 until it succeeds
    Then the service ran the booking once

  Scenario: A booking is retried while the router that claimed it is paused
    Given two routers in front of a booking service
    And the object store's answers to router-a1 take 0.8 seconds
    When a caller sends a booking to router-a1
    And router-a1 is paused as soon as its claim is in the store
    And the caller retries the booking at router-b1
    Then the caller gets an error with ran="maybe"
    And the service did not run the booking

  Scenario: The outcome of a booking survives an outage of the object store
    Given two routers in front of a booking service
    And a booking that takes 2 seconds and that router-a1 has sent to the service
    When the object store refuses all calls until the booking is answered
    And the caller retries the booking at router-b1 until it succeeds
    Then the caller gets the first answer again
    And the service ran the booking once

  Scenario: The object store comes back from a copy that lacks a booking's claim
    Given two routers in front of a booking service
    And a copy of the object store
    And a booking that router-a1 has answered
    When the object store comes back from the copy
    And the caller retries the booking at router-b1
    Then the caller gets an error with ran="no"
    When the caller retries the booking at router-a1
    Then the caller gets the first answer again
    When the caller retries the booking at router-b1 until it succeeds
    Then the caller gets the first answer again
    And the service ran the booking once
