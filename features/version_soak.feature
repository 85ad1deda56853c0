Feature: Streams of several software versions among overlapping faults

  Background:
    Given a model server first of version v1 with m1
    And a model server second of version v1 with m1
    And 4 pool daemons, or as many as the soak is given

  Scenario: no caller gets a stream of two versions, or one that lacks or repeats an event
    When callers stream for 30 s among random faults, seed 101 or as given
    Then no stream has events of two software versions
    And no daemon ended without a signal
    And no stream lacks or repeats an event

  Scenario: resumed streams go on at least half as often as new streams begin
    When callers stream for 15 s among random faults, seed 253 or as given
    Then resumed streams go on at least half as often as new streams begin
