Feature: When a refusal says "not run", the request did not run

  Background:
    Given 2 application servers for booking at /book
    And a site of 2 daemons and 1 engines

  Scenario: back ends that refuse unstarted
    When the back end each has the fault refuse = true
    And 10 callers send each daemon a POST to /book/slot
    Then every reply is a refusal, not-run, with Retry-After
    And nothing that was refused as not-run ran

  Scenario: back ends that act and lose the answer
    When the back end each has the fault lose_answers = true
    And 10 callers send each daemon a POST to /book/slot
    Then every reply is a refusal, unknown
    And nothing ran twice

  Scenario: back ends that answer after the deadline
    When the back end each has the fault delay_seconds = 4
    And 5 callers send each daemon a POST to /book/slot within 1 s
    Then every reply is a refusal, unknown
    And every request got exactly one final answer in time
    And nothing ran twice

  Scenario: one back end refuses, the other takes over
    When the back end booking-1 has the fault refuse = true
    And 20 callers send each daemon a POST to /book/slot
    Then every reply is a success, or a refusal that says not-run
    And nothing that was refused as not-run ran
    And nothing ran twice

  Scenario: a back end dies with requests in it
    When the back end booking-1 has the fault delay_seconds = 5
    And 10 callers begin to send each daemon a POST to /book/slot
    And the back end booking-1 has a request
    And the back end booking-1 is killed
    Then every request got exactly one final answer in time
    And nothing that was refused as not-run ran
    And nothing ran twice

  Scenario: a refusal after an attempt whose answer was lost hides that it may have run
    When the back end booking-1 has the fault lose_answers = true
    And the back end booking-2 has the fault refuse = true
    And 20 callers send each daemon a GET to /book/slot
    Then nothing that was refused as not-run ran
