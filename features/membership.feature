Feature: A cell continues to serve when daemons and zones fail

  Scenario: a killed controller is replaced, and engines still get orders
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And model other of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And a site of 3 daemons and 2 engines
    When 2 callers ask each daemon for tutor
    And the controller is killed
    And 2 callers ask each daemon that runs for tutor
    And 2 callers ask each daemon that runs for other
    Then every reply has status 200

  Scenario: the controller itself continues to accept requests for cold models
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And a site of 2 daemons and 1 engines
    When the controller has led for 15 heartbeats
    And 2 callers ask each daemon for tutor
    Then every reply has status 200

  Scenario: the zone of the controller is cut off
    Given model tutor of 4000 MiB that loads in 0.2 s, at most 1 replicas
    And a site of 3 daemons and 3 engines whose zone-a can be cut off
    When the daemon daemon-1 leads
    And zone-a is cut off
    And 5 callers ask daemon-2 and daemon-3 for tutor
    Then every reply has status 200
    And at most 1 replicas of tutor@v1 were loaded at once
    When zone-a is reconnected
    And 5 callers ask each daemon for tutor
    Then every reply has status 200
    And at most 1 replicas of tutor@v1 were loaded at once

  Scenario: two daemons lose contact with each other, but not with the third
    Given model tutor of 4000 MiB that loads in 0.2 s, at most 1 replicas
    And a site of 3 daemons and 2 engines where daemon-1 and daemon-2 can lose each other
    When the daemon daemon-1 leads
    And daemon-1 and daemon-2 lose each other
    And both suspect each other for 20 heartbeats
    Then the controller has changed at most once since
    And neither considers the other gone
    When 3 callers ask each daemon for tutor
    Then every reply has status 200

  Scenario: a daemon restarts with a new identity under its old name
    Given model tutor of 4000 MiB that loads in 0.2 s, at most 1 replicas
    And a site of 3 daemons and 2 engines
    When a voter that is not the controller is killed
    And the killed daemon is started again
    And all voter seats are filled again
    And another voter is killed
    And 3 callers ask each daemon that runs for tutor
    Then every reply has status 200

  Scenario: a majority of the voters fails at once, and a new generation starts
    Given model tutor of 4000 MiB that loads in 0.2 s, at most 1 replicas
    And a site of 3 daemons and 2 engines
    When 3 callers ask each daemon for tutor
    And all daemons but one are killed
    And the killed daemons are started again
    And 3 callers ask each daemon for tutor
    Then every reply has status 200
    And at most 1 replicas of tutor@v1 were loaded at once
    And the generation is 2

  Scenario: a majority of the voters and the table service fail at once
    Given model tutor of 4000 MiB that loads in 0.2 s, at most 1 replicas
    And model cold of 4000 MiB that loads in 0.2 s, at most 1 replicas
    And a site of 3 daemons and 2 engines
    When 3 callers ask each daemon for tutor
    And the back end platform has the fault down = true
    And all daemons but one are killed
    And the replies are forgotten
    And 3 callers ask each daemon that runs for tutor
    Then every reply has status 200
    When the replies are forgotten
    And the remaining daemon notices that there is no controller
    And 3 callers ask each daemon that runs for cold
    Then every reply is a refusal no-controller, not-run, with Retry-After
