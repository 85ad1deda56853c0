Feature: A healthy server that is suspended for a second

  Background:
    Given a model server one that holds m1+m2
    And a model server two that holds m1+m2
    And a plain server shop
    And a plain server depot
    And 3 pool daemons

  Scenario Outline: first attempts are served, each by one server, and no model is loaded, <name>
    When callers keep every daemon busy for 1.0 s
    And server <name> is suspended for 1.0 s
    And first attempts come to every daemon for 2.0 s
    Then every first attempt is served and ran exactly once
    And no model server was ordered to load a model

    Examples: servers
      | name |
      | one  |
      | shop |
