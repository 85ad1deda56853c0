Feature: Requests among paused servers, paused daemons, configuration changes and restarts

  Servers and daemons are suspended for a while, some of them at once and in the middle of streams,
  while the configuration changes in quick series, servers of other versions join, daemons end and
  start again, and the store is faulty. All scenarios judge the record of one soak.

  Background:
    Given a soak of pauses with 4 daemons for 10 s, seed 903, or as given

  Scenario: a request that a running daemon has read gets a complete answer
    Then every request that was read was answered completely

  Scenario: no request is denied that every configuration allows
    Then no request on a permanent route was answered with 404

  Scenario: a stream comes from one software version, in order and to its end
    Then no stream of the soak has events of two software versions
    And no stream of the soak lacks or repeats an event
    And no stream of the soak is closed as complete before its last event

  Scenario: a request that cannot be repeated runs once, and not at all when it was refused
    Then no request that cannot be repeated ran twice, or ran although it was refused

  Scenario: a server that is left stops before another one has worked on the request for long
    Then no two servers worked on one request at the same time for long

  Scenario: daemons run until they get a signal
    Then no daemon of the soak ended by itself

  Scenario: all daemons serve again after the faults
    Then every daemon became ready again and served every route
