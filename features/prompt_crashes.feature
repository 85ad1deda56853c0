Feature: Prompts with a part that crashes each server that begins to answer on it

  Background:
    Given a model server one that holds m1
    And a model server two that holds m1
    And a model server three that holds m1
    And a model server four that holds m1
    And a model server five that holds m1
    And 3 pool daemons
    And all servers crash on the prompt part bad

  Scenario: few requests with the part reach servers once it has ended five, and sound ones are served
    When sound requests come to every daemon for 1.0 s
    And bad and sound requests come to every daemon until servers ended 5 times, and for 3.0 s more
    And bad and sound requests come to every daemon for 4.0 s
    Then at most 3 of the last bad requests reached servers
    And at least 0.5 of the last sound requests were served at the first attempt

  Scenario: a daemon that starts again knows the part
    When sound requests come to every daemon for 1.0 s
    And bad and sound requests come to every daemon until servers ended 5 times, and for 3.0 s more
    And daemon-1 starts again
    And bad requests come to daemon-1 for 3.0 s
    Then at most 3 of the last bad requests reached servers
