Feature: loomwind explain finds from logs why a request failed or was served late

  Scenario: no route matches the path
    Given a plain server shop
    And 1 pool daemons
    When a plain request on nowhere is sent
    Then explain reports the cause no_route

  Scenario: the daemon has no configuration
    Given a daemon while the store is unavailable
    When a plain request on look is sent
    Then explain reports the cause no_configuration

  Scenario: a server accepts the request but never responds
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults mode=mute
    When a plain request on book begins with 0.5 s to its deadline
    Then explain reports the cause server_silent

  Scenario: a server resets the connection
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults mode=reset
    When a plain request on book is sent
    Then explain reports the cause server_broke_off

  Scenario: a server closes the connection in the middle of a stream
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults cut_after_events=2
    When a stream on draft for m1 with 6 events begins
    Then explain reports the cause server_broke_off

  Scenario: the servers reject the request without running it
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults mode=shed
    When a plain request on book is sent
    Then explain reports the cause servers_refused

  Scenario: the service has no server
    Given a model server one that holds m1
    And 1 pool daemons
    When a plain request on book is sent
    Then explain reports the cause no_server

  Scenario: a model server does not respond to load orders
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults late_order_seconds=60
    When a model request on draft for m3 begins with 3.0 s to its deadline
    Then explain reports the cause orders_unanswered

  Scenario: the leader is paused while its lease is still valid
    Given leases of 600 s
    And a model server one that holds m1
    And 3 pool daemons
    And one of them has logged that it leads
    When the leader receives SIGSTOP
    And a request on draft for m3 is sent to another daemon with a deadline in 2.0 s
    Then explain reports the cause model_not_loaded

  Scenario: the store is unavailable and the leader is dead
    Given a model server one that holds m1
    And 2 pool daemons
    When the store has faults mode=busy
    And the leader receives SIGKILL
    And a request on draft for m3 is sent to another daemon with a deadline in 2.0 s
    Then explain reports the cause no_leader

  Scenario: the daemon shuts down gracefully
    Given routes with a target latency of 20 s
    And a model server one that holds m1
    And 1 pool daemons
    And server one has faults late_order_seconds=60
    When a model request on draft for m3 begins with 20.0 s to its deadline
    And it waits at the first daemon
    And the first daemon gets SIGTERM
    Then explain reports the cause leaving

  Scenario: the caller closes the connection
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.2
    When a caller disconnects during a stream for m1
    Then explain reports the cause caller_left

  Scenario: the request was served late because its model had to be loaded
    Given a model server one that holds m1
    And models with a load time of 1.5 s
    And 1 pool daemons
    When a model request on draft for m3 is sent
    Then explain reports the cause served_late

  Scenario: a server pauses in the middle of a stream
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.3
    When a stream on talk for m1 with 4 events begins
    Then explain reports the cause server_paused

  Scenario: the request was refused with a time to retry
    Given a model server one that holds m1
    And models with a load time of 5.0 s
    And routes with a target latency of 1 s
    And 1 pool daemons
    When a model request on draft for m3 begins with 20.0 s to its deadline
    Then the last reply has status 503
    And explain reports the cause told_to_return

  Scenario Outline: a request waited for a model in vain while the store was <last> last
    Given log lines of a request that waited for its model, and of a store that was <states>
    Then its lines tell the cause <cause>

    Examples:
      | states           | last     | cause            |
      | lost             | lost     | no_leader        |
      | lost and regained | regained | model_not_loaded |

  Scenario: failed and late requests are counted by route and reason
    Given log lines of a request that was told to retry, and of one that was late at its server
    Then the reasons are "told to come back, model" on r-1 and "late at its server" on no known route

  Scenario: callers that are refused again are counted by what they were told first
    Given these refusals of requests whose model was not loaded
      | caller | decision  |
      | a      | come-back |
      | b      | come-back |
      | c      | hopeless  |
      | b      | hopeless  |
      | c      | hopeless  |
      | c      | hopeless  |
      | d      | hopeless  |
    Then 2 callers were told to retry and 1 of them was refused again, 2 were told not to and 1 retried
