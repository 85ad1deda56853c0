Feature: A stream is continued only by servers of the software version that began it

  Scenario: callers resume their streams after all daemons were killed
    Given a model server one of version v1 with m1+m2
    And a model server two of version v1 with m1+m2
    And a model server three of version v2 with m1+m2
    And a model server four of version v2 with m1+m2
    And 3 pool daemons
    And every event of a stream takes 0.05 s
    When streams begin at every daemon until 12 have begun at each of v1 and v2
    And all daemons are killed and restarted
    And the callers resume their streams
    Then no stream has events of two software versions
    And at least 0.5 of the resumed streams are complete

  Scenario: callers resume their streams after the old version has left and all daemons were killed
    Given a model server one of version v1 with m1
    And a model server two of version v2 with m1
    And 3 pool daemons
    And every event of a stream takes 0.05 s
    When streams begin at every daemon until 4 have begun at each of v1 and v2
    And server one is killed, and its entry is removed
    And all daemons are killed and restarted
    And the callers resume their streams
    Then no stream has events of two software versions
    And every rejected resumption has status 503 and came before half of its caller's time

  Scenario: one daemon continues a stream that its server broke off
    Given a model server one of version v1 with m1
    And 1 pool daemons
    And a model server two of version v2 with m1
    And a model server three of version v1 with m1
    And the daemons know all servers
    And server one has faults cut_after_events=2
    And server three has faults cut_after_events=3
    When 12 model requests on drill for m1 with 9 events are sent
    Then no stream has events of two software versions

  Scenario: no server of the version is left, so a stream that its server broke off ends
    Given a model server one of version v1 with m1
    And 1 pool daemons
    And server one has faults cut_after_events=2
    And a model server two of version v2 with m1
    And the daemons know all servers
    When 12 model requests on drill for m1 with 9 events are sent
    Then no stream has events of two software versions
    And every reply that is not complete is truncated after a complete event

  Scenario: a peer relays a resumed stream to the version that began it
    Given a model server one of version v1 with m1
    And a model server two of version v2 with m1
    And links between daemon-1 and all servers
    And 3 pool daemons
    And every event of a stream takes 0.05 s
    When streams begin at every daemon until 6 have begun at each of v1 and v2
    And the links to the servers become reset
    And the callers resume their streams at daemon-1
    Then no stream has events of two software versions
    And at least 0.9 of all streams are complete
    And daemon-1 has relayed requests to peers

  Scenario: streams are resumed while the store is down and one version has served throughout
    Given a model server one of version v1 with m1
    And a model server two of version v1 with m1
    And 3 pool daemons
    And every event of a stream takes 0.05 s
    When streams begin at every daemon until 9 have begun at each of v1
    And the store has faults mode=silent
    And daemon-1 is killed
    And the callers resume their streams at daemon-2
    Then at least 0.9 of the resumed streams are complete

  Scenario: the model of an interrupted stream is loaded at its version, though another version holds it
    Given a model server one of version v1 with m1
    And a model server two of version v2 with m1
    And a model server three of version v2 with m1
    And a model server four of version v1 with nothing
    And 2 pool daemons
    And every event of a stream takes 0.05 s
    When streams begin at every daemon until 4 have begun at each of v1 and v2
    And server one is killed, and its entry is removed
    And the callers resume their streams
    Then no stream has events of two software versions
    And at least 0.9 of all streams are complete
    And server four holds m1

  Scenario: a daemon that stood still during a release continues streams of the new version
    Given a model server one of version v1 with m1
    And 3 pool daemons
    And every event of a stream takes 0.05 s
    When daemon-1 is suspended
    Given a model server two of version v2 with m1
    And every event of a stream takes 0.05 s
    When streams may begin at v2
    And streams begin at daemon-2 and daemon-3 only, until 6 have begun at each of v1 and v2
    And daemon-2 is killed
    And daemon-3 is killed
    And the callers resume their streams at daemon-1, which then continues
    Then streams that began at v2 were resumed
    And no stream has events of two software versions
    And at least 0.5 of the resumed streams are complete

  Scenario: a daemon that stood still and was cut off during a release does not join two versions
    Given a model server one of version v1 with m1
    And a link between daemon-1 and the store, and 3 pool daemons
    And every event of a stream takes 0.05 s
    When the link to the store becomes partition
    And daemon-1 is suspended
    Given a model server two of version v2 with m1
    And every event of a stream takes 0.05 s
    When streams may begin at v2
    And streams begin at daemon-2 and daemon-3 only, until 6 have begun at each of v1 and v2
    And daemon-2 is killed
    And daemon-3 is killed
    And the callers resume their streams at daemon-1, which then continues
    Then streams that began at v2 were resumed
    And no stream has events of two software versions
    And every resumption is complete, or rejected with status 503 before half of its caller's time
