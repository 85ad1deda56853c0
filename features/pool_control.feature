Feature: A single leader places models despite failures of the leader, its orders or the store

  Background:
    Given a model server one that holds m1+m2
    And a model server two that holds m1

  Scenario: a burst of requests at every daemon loads a model at most once per server
    Given 3 pool daemons
    When 12 requests for m3 begin at every daemon
    Then every reply is complete
    And m3 was ordered at most once at each server and at no more than 2 servers
    And no order overcommitted a server

  Scenario: orders that are executed late do not overcommit a server
    Given routes with a target latency of 8 s
    And 2 pool daemons
    And server one has faults late_order_seconds=1.0
    And server two has faults late_order_seconds=1.0
    When a model request on draft for m3 begins with 30.0 s to its deadline
    And a server has received an order
    And server one has faults late_order_seconds=0
    And server two has faults late_order_seconds=0
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: a paused leader is replaced and sends no orders under its old lease
    Given 3 pool daemons
    When the leader receives SIGSTOP
    Then another pool daemon becomes the leader
    When a running daemon gets a request on draft for m4
    And the paused leader resumes
    Then the last reply is complete with 3 events in order
    And the fencing tokens of the orders at each server never decrease
    And no order overcommitted a server

  Scenario: there is one leader after the store lost responses and delayed writes
    Given 3 pool daemons
    When the store has faults lose_answers=true, late_seconds=0.3
    And the leader receives SIGKILL
    And the store recovers
    Then another pool daemon becomes the leader
    When a running daemon gets a request on draft for m4
    Then the last reply is complete with 3 events in order
    And the fencing tokens of the orders at each server never decrease

  Scenario: the pool serves requests after all daemons were killed and restarted
    Given 3 pool daemons
    When all daemons are killed and restarted
    And a running daemon gets a request on draft for m3
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server
