Feature: Accelerator memory is never overcommitted

  Scenario: more models are wanted at once than there is memory for
    Given 8 models of 4000 MiB that load in 0.3 s
    And a site of 3 daemons and 2 engines of 9000 MiB
    When 3 callers ask each daemon for each model
    Then every reply has status 200
    And no engine held more than 9000 MiB nor was asked to

  Scenario: the controller is killed while models are exchanged
    Given 8 models of 4000 MiB that load in 0.3 s
    And a site of 3 daemons and 2 engines of 9000 MiB
    When 3 callers begin to ask each daemon but the controller for each model
    And an engine loads model-0@v1
    And the controller is killed
    Then every reply has status 200
    And no engine held more than 9000 MiB nor was asked to

  Scenario: the answers of engines are lost
    Given 6 models of 4000 MiB that load in 0.2 s
    And a site of 3 daemons and 2 engines of 9000 MiB
    When engines lose the answers to /v1/orders
    And 2 callers ask each daemon for each model
    Then every reply has status 200
    And no engine held more than 9000 MiB nor was asked to
