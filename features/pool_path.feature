Feature: Requests to a pool with a metadata store, end to end through real processes

  Background:
    Given a model server one that holds m1+m2
    And a model server two that holds m1
    And a plain server shop

  Scenario: a plain request gets the complete, unchanged response
    Given 1 pool daemons
    When a plain request on book is sent
    Then the last reply has status 200
    And the last reply's body is "POST /book/item hello"
    And the last request ran 1 times

  Scenario: the response to a warm request is streamed
    Given 2 pool daemons
    When a model request on draft for m1 is sent
    Then the last reply is complete with 3 events in order

  Scenario: a cold request waits for its model, whose load evicts another
    Given 2 pool daemons
    When a model request on draft for m3 is sent
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: a request for an adapter that is not loaded causes its load
    Given 2 pool daemons
    When a model request on drill for m2/a3 is sent
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: a request without a route gets 404
    Given 1 pool daemons
    When a plain request on nowhere is sent
    Then the last reply has status 404

  Scenario: after the leader is killed, a cold request is served under the next leader
    Given 3 pool daemons
    When the leader receives SIGKILL
    Then another pool daemon becomes the leader
    When a running daemon gets a request on draft for m4
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: a leader that shuts down gracefully is replaced
    Given 3 pool daemons
    When the leader receives SIGTERM
    Then another pool daemon becomes the leader

  Scenario: a killed leader that starts again frees its lease long before it expires
    Given leases of 600 s
    And 3 pool daemons
    When the leader receives SIGKILL
    And the old leader starts again
    Then a pool daemon leads

  Scenario: a killed leader that does not start again is replaced
    Given 3 pool daemons
    When the leader receives SIGKILL
    Then another pool daemon becomes the leader

  Scenario Outline: nobody leads on without the store, and one daemon does when it recovers, <mode>
    Given 3 pool daemons
    When the store has faults mode=<mode>
    Then no pool daemon leads
    When twice the lease duration passes
    And a running daemon gets a request on draft for m1
    Then the last reply is complete with 3 events in order
    And no pool daemon leads
    When the store recovers
    And a running daemon gets a request on draft for m4
    Then the last reply is complete with 3 events in order
    And the fencing tokens of the orders at each server never decrease
    And no order overcommitted a server

    Examples: a store that refuses all calls, and one that does not respond to any
      | mode   |
      | busy   |
      | silent |
