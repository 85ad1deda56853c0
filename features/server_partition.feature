Feature: A daemon partitioned from all servers, but not from callers, peers and the store

  Background:
    Given a model server one that holds m1+m2
    And a model server two that holds m1+m3
    And a plain server shop
    And a plain server depot
    And links between daemon-1 and all servers

  Scenario Outline: a partitioned daemon serves about as many first attempts as the others, <state>
    Given 3 pool daemons
    When callers keep every daemon busy for 1.0 s
    And the links to the servers become <state>
    And callers keep every daemon busy for 3.0 s
    And first attempts come to every daemon for 3.0 s
    Then daemon-1 serves at least 0.67 times the share of first attempts that the others serve

    Examples: kinds of network faults
      | state      |
      | partition  |
      | reset      |
      | refuse_new |

  Scenario: a daemon that can reach the servers of only one service
    Given 3 pool daemons
    When callers keep every daemon busy for 1.0 s
    And the links to the servers of tutor become partition
    And callers keep every daemon busy for 3.0 s
    And first attempts come to every daemon for 3.0 s
    Then daemon-1 serves at least 0.67 times the share of first attempts that the others serve

  Scenario: a leader that cannot reach any model server steps down, and a cold model is loaded
    Given 1 pool daemons
    And the daemon daemon-1 leads
    And 2 further pool daemons
    When the links to the servers become partition
    And callers keep every daemon busy for 3.0 s
    Then another pool daemon becomes the leader
    When daemon-2 gets a model request on draft for m4
    Then the last reply is complete with 3 events in order
    And the fencing tokens of the orders at each server never decrease

  Scenario: a request whose deadline passes while connecting has not run, and its caller gets status 503
    Given 1 pool daemons
    When the links to the servers become partition
    And a plain request on book begins with 0.6 s to its deadline
    Then the last reply has status 503
    And the last request ran 0 times
