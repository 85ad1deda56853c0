Feature: Streams of a server that pauses are not lost to another server that fails

  Model servers pause one after the other, for up to 2.2 s, while others fail every new stream late,
  beside changes of the configuration and reloads. All scenarios judge the record of one run.

  Background:
    Given pauses beside failures at 3 daemons for 5 s, seed 562, or as given

  Scenario: no stream is cut that its own server would have completed after a pause
    Then every request that was read was answered completely

  Scenario: no stream is joined, disordered or ended early by a move to a server that fails
    Then no stream of the soak has events of two software versions
    And no stream of the soak lacks or repeats an event
    And no stream of the soak is closed as complete before its last event

  Scenario: a server that is left for one that fails stops before that one has worked for long
    Then no two servers worked on one request at the same time for long
    And no request that cannot be repeated ran twice, or ran although it was refused
