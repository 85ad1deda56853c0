Feature: A relayed stream belongs to the software version of its first event

  Background: a daemon that has lost its servers, and peers that reach them
    Given a model server one of version v1 with m1
    And a model server two of version v2 with m1
    And links between daemon-1 and all servers
    And the daemons may retry 100 times together
    And daemon-2 is in another zone, so that daemon-1 asks it first
    And 3 pool daemons
    And streams may begin at v1 and at v2
    When the links to the servers become reset

  Scenario: callers resume relayed streams that their first server reset after the head
    When server one resets streams after their head
    And streams begin at daemon-1 until 2 of them were sent on from server one to server two
    And daemon-1 is killed
    And the faults of the servers end
    And the callers resume their streams at daemon-2
    Then streams that began at v2 were resumed
    And no stream has events of two software versions
    And at least 0.5 of the resumed streams are complete

  Scenario: the peer is lost that relays streams which their first server reset after the head
    When server one resets streams after their head
    And streams begin at daemon-1 until 2 of them were sent on from server one to server two
    And the faults of the servers end
    And daemon-2 is killed
    And the callers read their streams to the end
    Then no stream has events of two software versions
    And at least 0.5 of all streams are complete
    And daemon-1 has continued streams that began at v2

  Scenario: callers resume relayed streams that were moved from a server which hung after the head
    When server one hangs after the head of streams
    And streams begin at daemon-1 until 2 of them were sent on from server one to server two
    And daemon-1 is killed
    And the faults of the servers end
    And the callers resume their streams at daemon-2
    Then streams that began at v2 were resumed
    And no stream has events of two software versions
    And at least 0.5 of the resumed streams are complete

  Scenario: the peer of relayed streams is lost between their head and their first event
    When server one hangs after the head of streams, and server two rejects them
    And streams begin at daemon-1 until 6 of them hang at server one
    And the faults of the servers end
    And daemon-2 is killed
    And streams at daemon-1 have begun
    And daemon-1 is killed
    And the callers resume their streams at daemon-3
    Then streams that began at v2 were resumed
    And no stream has events of two software versions
    And at least 0.5 of the resumed streams are complete
