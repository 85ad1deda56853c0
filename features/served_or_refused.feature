Feature: Every waiting request is served or refused in time, and none is dropped

  Scenario: a deadline that a load cannot meet is refused at once, with when to come back
    Given model slow of 4000 MiB that loads in 20 s, at most 1 replicas
    And a site of 2 daemons and 1 engines
    When 1 callers ask each daemon for slow within 15 s
    Then every reply is a refusal cannot-meet-deadline, not-run, with Retry-After
    And the refusals came well before the deadline

  Scenario: the weight store hangs, and the waiting requests end at their deadline
    Given model tutor of 4000 MiB that loads in 0.2 s, at most 1 replicas
    And a site of 2 daemons and 1 engines
    When the back end platform has the fault load_factor = 1000
    And 5 callers ask each daemon for tutor within 2 s
    Then every reply is a refusal, not-run, with Retry-After
    And every request got exactly one final answer in time

  Scenario: an engine hangs with requests in it
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And a site of 2 daemons and 1 engines
    When 2 callers ask each daemon for tutor
    And the engine that holds tutor@v1 is paused
    And 5 callers ask each daemon for tutor within 2 s
    Then every reply is a refusal
    And every request got exactly one final answer in time

  Scenario: engines are killed in the middle of streams
    Given model tutor of 4000 MiB that loads in 0.2 s, at most 2 replicas
    And a site of 3 daemons and 3 engines with slow tokens
    When 10 callers begin to ask each daemon for tutor
    And an engine loads tutor@v1
    And an engine is in the middle of a stream
    And that engine is killed and listed as gone
    Then every request got exactly one final answer in time
    And every answer that is not whole says so

  Scenario: the controller and another daemon are killed under load
    Given model tutor of 4000 MiB that loads in 0.5 s, at most 2 replicas
    And a site of 5 daemons and 3 engines
    When 10 callers begin to ask each daemon but the controller for tutor
    And the controller is killed
    Then every request got exactly one final answer in time
    And another daemon leads

  Scenario: too many requests of a group wait
    Given model slow of 4000 MiB that loads in 3 s, at most 1 replicas
    And group school may have 4 requests waiting
    And a site of 1 daemons and 1 engines
    When 20 callers ask each daemon for slow
    Then some replies are refusals too-many-waiting with Retry-After
    And every request got exactly one final answer in time

  Scenario: a queue that is too long for the deadline refuses at once
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And a site of 1 daemons and 1 engines with slow tokens
    When 40 callers ask each daemon for tutor
    And 100 callers ask each daemon for tutor within 2 s
    Then some replies are refusals cannot-meet-deadline with Retry-After
    And every request got exactly one final answer in time

  Scenario: the balance of each daemon closes
    Given model tutor of 4000 MiB that loads in 0.2 s, at most 1 replicas
    And a site of 2 daemons and 2 engines
    When 20 callers ask each daemon for tutor
    And 5 callers ask each daemon for nothing-of-this-name
    Then each daemon has accepted as many requests as it answered, refused and cancelled
