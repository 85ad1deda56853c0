Feature: Daemons answer what they read while signals and changes follow each other closely

  SIGHUP, SIGTERM, changes of the configuration and of the settings overlap in a random series, also
  at daemons that stop, while callers keep their connections until the processes are gone. All
  scenarios judge the record of one run.

  Background:
    Given a series of signals and changes at 3 daemons for 4 s, seed 561, or as given

  Scenario: a request that was read whole beside signals and changes gets an answer or a refusal
    Then every request that was read was answered completely

  Scenario: no daemon that stops closes a connection inside a request
    Then no stopping daemon closed a connection inside a request

  Scenario: no request is denied that every configuration allows, beside signals
    Then no request on a permanent route was answered with 404

  Scenario: a request that cannot be repeated runs once beside signals and changes
    Then no request that cannot be repeated ran twice, or ran although it was refused

  Scenario: daemons end for SIGTERM only, and serve again
    Then no daemon of the soak ended by itself
    And every daemon became ready again and served every route
