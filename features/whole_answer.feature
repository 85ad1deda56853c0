Feature: Each caller gets the whole answer to its own request

  Background:
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 2 replicas
    And streams are cut after 1 s of silence
    And a site of 2 daemons and 2 engines

  Scenario: many callers at once each get their own answer
    When 40 callers ask each daemon for tutor
    Then every reply has status 200
    And every answer is whole and the caller's own

  Scenario: a stream that is cut is resumed where it ended
    When 1 callers ask each daemon for tutor
    And the back end each has the fault cut_after_bytes = 400
    And 10 callers ask each daemon for tutor as streams
    Then every reply has status 200
    And every answer is whole and the caller's own

  Scenario: a stream that cannot be resumed ends visibly
    When 1 callers ask each daemon for tutor
    And engines cut streams after 400 bytes and cannot resume
    And 10 callers ask each daemon for tutor as streams
    Then no answer is whole
    And every answer that is not whole says so

  Scenario: an unframed stream that breaks off inside an event is resumed where it ended
    When 1 callers ask each daemon for tutor
    And engines cut unframed streams after 400 bytes
    And 10 callers ask each daemon for tutor as streams
    Then every reply has status 200
    And every answer is whole and the caller's own

  Scenario: an unframed stream that breaks off inside an event and cannot be resumed ends visibly
    When 1 callers ask each daemon for tutor
    And engines cut unframed streams after 400 bytes and cannot resume
    And 10 callers ask each daemon for tutor as streams
    Then no answer is whole
    And every answer that is not whole says so

  Scenario: a plain answer that is cut is not passed on as a short success
    When 1 callers ask each daemon for tutor
    And the back end each has the fault cut_after_bytes = 1
    And 10 callers ask each daemon for tutor as plain requests
    Then every answer is whole and the caller's own, or a refusal

  Scenario: a back end that answers another request is not believed
    When 1 callers ask each daemon for tutor
    And the back end each has the fault wrong_request_id = true
    And 10 callers ask each daemon for tutor
    Then every reply is a refusal, unknown

  Scenario: answers come late and in another order
    When 1 callers ask each daemon for tutor
    And the back end engine-1 has the fault delay_seconds = 0.3
    And 40 callers ask each daemon for tutor
    Then every reply has status 200
    And every answer is whole and the caller's own

  Scenario: an engine falls silent in the middle of streams
    When 1 callers ask each daemon for tutor
    And each engine has token pauses of 0.1 s
    And 4 callers begin to ask each daemon for tutor as streams
    And an engine is in the middle of a stream
    And that engine is paused
    Then every request got exactly one final answer in time
    And every answer that is not whole says so
