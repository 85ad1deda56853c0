Feature: An accepted configuration change reaches every daemon and is never reverted

  Scenario: changes reach every daemon
    Given a site of 3 daemons and 1 engines
    When an operator creates 20 groups through different daemons
    Then all daemons have the same catalog version, at least 20 higher

  Scenario: operators make conflicting changes at the same time
    Given a site of 3 daemons and 1 engines
    When 6 operators change the share of group school at the same version
    Then exactly 1 of the changes is accepted and the others are conflicts
    And all daemons show the accepted share

  Scenario: the table service is down
    Given a site of 3 daemons and 1 engines
    When the back end platform has the fault down = true
    And an operator tries to create group late
    Then the change is refused as unavailable
    And no daemon shows group late

  Scenario: the response is lost after the change took effect
    Given a site of 3 daemons and 1 engines
    When the platform loses the responses to writes
    And an operator tries with change id c-1 to create group late
    And the platform responds again
    And the operator repeats the change with change id c-1 through another daemon
    Then group late was created once, and all daemons show it

  Scenario: a new daemon starts while the table service is down
    Given a site of 3 daemons and 1 engines
    And a spare address for daemon-4 in zone-a
    When an operator creates 5 groups through different daemons
    And the back end platform has the fault down = true
    And the daemon daemon-4 is started
    Then daemon-4 has the catalog version of the others when it is ready

  Scenario: a zone is cut off and reconnected
    Given a site of 3 daemons and 3 engines whose zone-c can be cut off
    When zone-c is cut off
    And an operator creates 3 groups through daemon-1
    And zone-c is reconnected
    Then all daemons have the same catalog version, at least 3 higher
    And no daemon ever showed a lower catalog version

  Scenario: a wrong token is refused, and callers cannot reach operator calls
    Given a site of 1 daemons and 1 engines
    When an operator with a wrong token lists the groups
    Then the call is refused as not authenticated

  Scenario: a version change does not interrupt the service
    Given model tutor of 4000 MiB that loads in 2 s, at most 1 replicas
    And a site of 2 daemons and 2 engines
    When 2 callers ask each daemon for tutor
    And an operator makes v2 the current version of tutor
    And callers ask for tutor one after the other until v2 responds
    Then every reply has status 200
    And no caller waited for the load
    And at most 1 replicas of tutor@v2 were loaded at once
