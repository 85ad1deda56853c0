Feature: A back end that is leaving gets no new work after a few seconds

  Scenario: an engine says that it is leaving
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 2 replicas
    And a site of 3 daemons and 2 engines
    When 5 callers ask each daemon for tutor
    And the engine that holds tutor@v1 says that it is leaving
    Then soon no daemon sends that engine new work
    And 5 callers ask each daemon for tutor and all are answered by another engine

  Scenario: the machine list says that an engine is leaving
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 2 replicas
    And a site of 3 daemons and 2 engines
    When 5 callers ask each daemon for tutor
    And the engine that holds tutor@v1 is listed as leaving
    Then soon no daemon sends that engine new work
    And 5 callers ask each daemon for tutor and all are answered by another engine

  Scenario: an operator drains an engine
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 2 replicas
    And a site of 3 daemons and 2 engines
    When 5 callers ask each daemon for tutor
    And an operator drains the engine that holds tutor@v1
    Then soon no daemon sends that engine new work
    And 5 callers ask each daemon for tutor and all are answered by another engine

  Scenario: an application server says that it is leaving
    Given 2 application servers for booking at /book
    And a site of 3 daemons and 1 engines
    When the back end booking-1 has the fault leaving = true
    And 20 callers send each daemon a POST to /book/slot
    Then every reply has status 200
    And the back end booking-1 ran nothing
