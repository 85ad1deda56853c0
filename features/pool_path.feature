Feature: A pool served by a store: the whole path through real processes

  Background:
    Given a model server one that holds m1+m2
    And a model server two that holds m1
    And a plain server shop

  Scenario: a plain request is answered whole and unchanged
    Given 1 pool daemons
    When a plain request on book is sent
    Then the last reply has status 200
    And the last reply's body is "POST /book/item hello"
    And the last request ran 1 times

  Scenario: a warm request is streamed
    Given 2 pool daemons
    When a model request on draft for m1 is sent
    Then the last reply is complete with 3 events in order

  Scenario: a cold request waits for its model, which takes the place of another
    Given 2 pool daemons
    When a model request on draft for m3 is sent
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: an adapter that is not loaded is loaded
    Given 2 pool daemons
    When a model request on drill for m2/a3 is sent
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: a request without a route is answered at once
    Given 1 pool daemons
    When a plain request on nowhere is sent
    Then the last reply has status 404

  Scenario: the leader is killed and a cold request is served under the next one
    Given 3 pool daemons
    When the leader receives SIGKILL
    Then another pool daemon becomes the leader
    When a running daemon gets a request on draft for m4
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: the leader stops as planned and hands over
    Given 3 pool daemons
    When the leader receives SIGTERM
    Then another pool daemon becomes the leader

  Scenario: a killed leader is replaced long before its lease would end
    Given leases of 600 s
    And 3 pool daemons
    When the leader receives SIGKILL
    Then another pool daemon becomes the leader

  Scenario: the leader goes on while the store is away from all
    Given 3 pool daemons
    When the store has faults mode=busy
    And twice the lease duration passes
    And a running daemon gets a request on draft for m4
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: the leader goes on while the store answers nobody at all
    Given 3 pool daemons
    When the store has faults mode=silent
    And twice the lease duration passes
    And a running daemon gets a request on draft for m4
    Then the last reply is complete with 3 events in order
