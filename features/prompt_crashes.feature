Feature: Prompts with a part that crashes every server that responds to it

  Background:
    Given a model server one that holds m1
    And a model server two that holds m1
    And a model server three that holds m1
    And a model server four that holds m1
    And a model server five that holds m1
    And 3 pool daemons
    And all servers crash on the prompt part bad

  Scenario: after five crashes few requests with the part reach servers, and other requests are served
    When good requests are sent to every daemon for 1.0 s
    And bad and good requests are sent to every daemon until the part is banned, and for 3.0 s more
    Then servers crashed at most 5 times until the part was banned
    When bad and good requests are sent to every daemon for 4.0 s
    Then at most 3 of the last bad requests reached servers
    And at least 0.5 of the last good requests were served at the first attempt

  Scenario: a restarted daemon learns about the part from its peers
    When good requests are sent to every daemon for 1.0 s
    And bad and good requests are sent to every daemon until the part is banned, and for 3.0 s more
    And daemon-1 is killed and restarted
    And bad requests are sent to daemon-1 for 3.0 s
    Then at most 3 of the last bad requests reached servers
