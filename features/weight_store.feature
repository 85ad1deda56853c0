Feature: The weight store's limits are kept over the cell

  Background:
    Given 8 models of 1000 MiB that load in 0.5 s
    And a weight store that starts 4 loads a second and runs 2 at once

  Scenario: a burst for all models at every daemon
    Given a site of 3 daemons and 3 engines
    When 2 callers ask each daemon for each model
    Then every reply has status 200
    And the weight store was never asked for more than 2 at once nor too soon

  Scenario: the controller is killed in the middle of the burst
    Given a site of 3 daemons and 3 engines
    When 2 callers begin to ask each daemon but the controller for each model
    And an engine loads any model
    And the controller is killed
    Then every reply has status 200
    And the weight store was never asked for more than 2 at once nor too soon
