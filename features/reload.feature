Feature: A running daemon applies changes of its settings file

  Scenario: SIGHUP neither stops a daemon nor interrupts a stream
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.1
    When a stream on draft for m1 with 15 events begins
    And it runs at server one
    And the first daemon gets SIGHUP
    Then the last reply is complete with 15 events in order
    And the first daemon has logged settings reloaded

  Scenario: SIGHUP applies new bounds, and sections that need a restart are reported
    Given a plain server shop
    And 1 pool daemons
    When the first daemon's settings get lease_ms = 1200 and zone = zone-b
    And the first daemon gets SIGHUP
    Then the first daemon applies zone and bounds, and needs a restart for zone

  Scenario: a changed file is applied without a signal, and an invalid one is rejected
    Given a plain server shop
    And 1 pool daemons
    When the first daemon's settings get lease_ms = -1 and zone = zone-a
    Then the first daemon has logged settings rejected
    When a plain request on book is sent
    Then the last reply has status 200
    When the first daemon's settings get lease_ms = 1300 and zone = zone-a
    Then the first daemon applies bounds, and needs a restart for nothing

  Scenario: SIGHUP does not stop a daemon that serves from its own catalog
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And a site of 1 daemons and 1 engines
    When daemon-1 gets SIGHUP
    Then daemon-1 still answers

  Scenario: SIGHUP does not end a daemon that is still reading its settings
    Given a daemon that is still reading its settings
    When the starting daemon gets SIGHUP
    And its settings have been read
    Then the started daemon answers

  Scenario: settings that change while a daemon starts are applied
    Given a daemon that is still reading its settings
    When its settings are changed as soon as they have been read
    Then the started daemon applies bounds

  Scenario: settings that fail in a way that nothing expects do not end the reloading
    Given a daemon whose settings fail once with an error that nothing expects
    When they are changed again
    Then they are applied, and the failure is logged once
