Feature: A request reaches a model that was not loaded and comes back whole

  Background:
    Given model tutor of 4000 MiB that loads in 0.5 s, at most 1 replicas
    And adapter doric of model tutor
    And 2 application servers for learner-app at /app
    And a site of 1 daemons and 1 engines

  Scenario: a plain chat request loads the model
    When a caller asks tutor for "dia dhuit"
    Then every reply has status 200
    And the reply's text begins with "dia dhuit/0 dia dhuit/1 "

  Scenario: a streamed chat request loads the model
    When a caller asks tutor for "slàinte" as a stream
    Then every reply has status 200
    And the reply's text begins with "slàinte/0 slàinte/1 "

  Scenario: a given version and an adapter are loaded
    When a caller asks tutor@v2 for "version"
    And a caller asks doric for "adapter"
    Then every reply has status 200
    And engines hold tutor@v2, tutor@v1 and tutor@v1+doric

  Scenario: an ordinary request passes to an application server by route
    When a caller sends POST /app/bookings?slot=9 with body "room 4"
    Then every reply has status 200
    And the reply's body ends with "ran POST /app/bookings?slot=9: room 4"
