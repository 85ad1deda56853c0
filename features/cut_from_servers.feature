Feature: A daemon that is cut from all servers, while callers, peers and the store reach it

  Background:
    Given a model server one that holds m1+m2
    And a model server two that holds m1+m3
    And a plain server shop
    And a plain server depot
    And links between daemon-1 and all servers

  Scenario Outline: first attempts at a cut daemon are served about as often as at the others, <state>
    Given 3 pool daemons
    When callers keep every daemon busy for 1.0 s
    And the links to the servers become <state>
    And callers keep every daemon busy for 3.0 s
    And first attempts come to every daemon for 3.0 s
    Then daemon-1 serves at least 0.67 as many of its first attempts as the others of theirs

    Examples: ways of a cut
      | state      |
      | partition  |
      | reset      |
      | refuse_new |

  Scenario: a daemon that reaches the servers of one service only
    Given 3 pool daemons
    When callers keep every daemon busy for 1.0 s
    And the links to the servers of tutor become partition
    And callers keep every daemon busy for 3.0 s
    And first attempts come to every daemon for 3.0 s
    Then daemon-1 serves at least 0.67 as many of its first attempts as the others of theirs

  Scenario: a leader that reaches no model server hands over, and a cold model is loaded
    Given 1 pool daemons
    And the daemon daemon-1 leads
    And 2 further pool daemons
    When the links to the servers become partition
    And callers keep every daemon busy for 3.0 s
    Then another pool daemon leads
    When daemon-2 gets a model request on draft for m4
    Then the last reply is whole with 3 events in order
    And the fences of the orders at each server never fall

  Scenario: a request whose time ends while it connects has not run, and its caller is told so
    Given 1 pool daemons
    When the links to the servers become partition
    And a plain request on book begins with 0.6 s to its deadline
    Then the last reply has status 503
    And the last request ran 0 times
