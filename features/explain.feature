Feature: On-call engineers get from a request's id to its cause by logs alone

  Scenario: a path without a route
    Given a plain server shop
    And 1 pool daemons
    When a plain request on nowhere is sent
    Then explain names the cause no_route

  Scenario: a daemon that has no configuration
    Given a daemon while the store is away
    When a plain request on look is sent
    Then explain names the cause no_configuration

  Scenario: a server that never answers
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults mode=mute
    When a plain request on book begins with 0.5 s to its deadline
    Then explain names the cause server_silent

  Scenario: a server that resets the connection
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults mode=reset
    When a plain request on book is sent
    Then explain names the cause server_broke_off

  Scenario: a stream that breaks off
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults cut_after_events=2
    When a stream on draft for m1 with 6 events begins
    Then explain names the cause server_broke_off

  Scenario: servers that refuse unstarted
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults mode=shed
    When a plain request on book is sent
    Then explain names the cause servers_refused

  Scenario: no server of the service
    Given a model server one that holds m1
    And 1 pool daemons
    When a plain request on book is sent
    Then explain names the cause no_server

  Scenario: orders that a model server leaves unanswered
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults late_order_seconds=60
    When a model request on draft for m3 begins with 3.0 s to its deadline
    Then explain names the cause orders_unanswered

  Scenario: nobody leads
    Given leases of 600 s
    And a model server one that holds m1
    And 3 pool daemons
    When the leader is ended with SIGSTOP
    And a request on draft for m3 goes to another daemon with 2.0 s to its deadline
    Then explain names the cause model_not_loaded

  Scenario: the store is away and the leader is dead
    Given a model server one that holds m1
    And 2 pool daemons
    When the store has faults mode=busy
    And the leader is ended with SIGKILL
    And a request on draft for m3 goes to another daemon with 2.0 s to its deadline
    Then explain names the cause no_leader

  Scenario: a planned stop
    Given callers who wait 20 s for an answer to begin
    And a model server one that holds m1
    And 1 pool daemons
    And server one has faults late_order_seconds=60
    When a model request on draft for m3 begins with 20.0 s to its deadline
    And it waits at the first daemon
    And the first daemon gets SIGTERM
    Then explain names the cause leaving

  Scenario: a caller that left
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.2
    When a caller leaves during a stream for m1
    Then explain names the cause caller_left

  Scenario: a model that was loaded late
    Given a model server one that holds m1
    And models that load in 1.5 s
    And 1 pool daemons
    When a model request on draft for m3 is sent
    Then explain names the cause served_late

  Scenario: a server that pauses in the middle of a stream
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.3
    When a stream on talk for m1 with 4 events begins
    Then explain names the cause server_paused

  Scenario: a request that was told when to come back
    Given a model server one that holds m1
    And models that load in 5.0 s
    And callers who wait 1 s for an answer to begin
    And 1 pool daemons
    When a model request on draft for m3 begins with 20.0 s to its deadline
    Then the last reply has status 503
    And explain names the cause told_to_return

  Scenario: the losses of a day are counted by route and reason
    Given the lines of a request that was told to come back, and of one that was late at its server
    Then the reasons are "told to come back, model" on r-1 and "late at its server" on no known route

  Scenario: callers that were told to come back are told from those that come back of themselves
    Given these refusals for want of a model
      | caller | decision  | first try |
      | a      | come-back | yes       |
      | b      | come-back | yes       |
      | c      | hopeless  | yes       |
      | b      | hopeless  | no        |
      | c      | hopeless  | no        |
      | d      | hopeless  | no        |
    Then 2 callers were promised and 1 of them refused again, 1 had no hope and 1 came back, 1 is unknown
