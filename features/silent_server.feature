Feature: A sound server that stands still for a second and goes on

  Background:
    Given a model server one that holds m1+m2
    And a model server two that holds m1+m2
    And a plain server shop
    And a plain server depot
    And 3 pool daemons

  Scenario Outline: every first attempt is served, runs once, and no model is loaded for it, <name>
    When callers keep every daemon busy for 1.0 s
    And server <name> stands still for 1.0 s from now on
    And first attempts come to every daemon for 2.0 s
    Then every first attempt is served, and ran at one server
    And no model server got an order to load a model

    Examples: servers
      | name |
      | one  |
      | shop |
