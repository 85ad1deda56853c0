Feature: A planned stop cuts off no request that is in progress

  Scenario: a daemon is stopped under load
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 3 replicas
    And a site of 3 daemons and 3 engines with slow tokens
    When 10 callers begin to ask each daemon for tutor
    And an engine is in the middle of a stream
    And a daemon that does not lead is told to stop
    Then every reply has status 200
    And every answer is whole and the caller's own
    And the stopped daemon ended with status 0

  Scenario: the controller is stopped under load, and hands over
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 3 replicas
    And model other of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And a site of 3 daemons and 3 engines with slow tokens
    When 10 callers begin to ask each daemon for tutor
    And an engine is in the middle of a stream
    And the controller is told to stop
    Then another daemon leads
    And every reply has status 200
    And every answer is whole and the caller's own
    And the stopped daemon ended with status 0
    When 2 callers ask each daemon that runs for other
    Then every reply has status 200

  Scenario: an engine is drained in the middle of streams
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And a site of 2 daemons and 2 engines with slow tokens
    When 4 callers begin to ask each daemon for tutor
    And an engine is in the middle of a stream
    And an operator drains the engine that holds tutor@v1
    Then every reply has status 200
    And every answer is whole and the caller's own
