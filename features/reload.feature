Feature: A changed settings file is taken up while a daemon runs

  Scenario: SIGHUP neither ends a daemon nor cuts a stream
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.1
    When a stream on draft for m1 with 15 events begins
    And it runs at server one
    And the first daemon gets SIGHUP
    Then the last reply is whole with 15 events in order
    And the first daemon has logged settings reloaded

  Scenario: new bounds are put in force at SIGHUP, and what needs a restart is said
    Given a plain server shop
    And 1 pool daemons
    When the first daemon's settings get lease_ms = 1200 and zone = zone-b
    And the first daemon gets SIGHUP
    Then the first daemon takes up zone and bounds, and needs a restart for zone

  Scenario: a file that changes without a signal is taken up, and a faulty one changes nothing
    Given a plain server shop
    And 1 pool daemons
    When the first daemon's settings get lease_ms = -1 and zone = zone-a
    Then the first daemon has logged settings rejected
    When a plain request on book is sent
    Then the last reply has status 200
    When the first daemon's settings get lease_ms = 1300 and zone = zone-a
    Then the first daemon takes up bounds, and needs a restart for nothing

  Scenario: SIGHUP does not end a daemon that serves by its own catalog
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And a site of 1 daemons and 1 engines
    When daemon-1 gets SIGHUP
    Then daemon-1 still answers
