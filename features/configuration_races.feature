Feature: Changes of configuration, servers and settings lose no request that was read

  Scenario: changes come in any order while requests are at any step
    When 40 series of requests and changes of configuration, servers and settings overlap
    Then every request got a whole response
    And no line of the log says failed, handler-failed, unanswered or cut

  Scenario: every kind of request is served where nothing changes
    When requests of every kind are sent while nothing changes
    Then every request got a whole response with status 200
