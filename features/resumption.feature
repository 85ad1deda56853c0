Feature: Which software version a stream that its caller resumes must go on at

  Background:
    Given a store, and servers of tutor that run v1

  Scenario: one version is registered, so no call is made
    Given the versions v1 of tutor are registered
    Then a stream that began at daemon-1 goes on at v1, without a call to the store

  Scenario: a new version is registered before streams begin at it
    Given the versions v1 of tutor are registered
    When servers of tutor run v1 and v2
    Then streams may begin at v1 but not at v2
    When daemon-1 keeps the registry for 2 s
    Then streams may begin at v1 and at v2

  Scenario: streams may begin at a new version while it cannot be registered
    Given the versions v1 of tutor are registered
    When servers of tutor run v1 and v2
    And the store is unavailable
    And daemon-1 keeps the registry for 2 s
    Then streams may begin at v1 and at v2

  Scenario Outline: a version is registered for <seconds> s after its last server has left, <result>
    Given the versions v1 and v2 of tutor are registered
    When servers of tutor run v2
    And daemon-1 keeps the registry for <seconds> s
    Then the registered versions of tutor are <versions>

    Examples:
      | seconds | versions  | result    |
      | 100     | v1 and v2 | kept      |
      | 130     | v2        | retired   |

  Scenario: the origin is known to the daemon that relayed the first event
    Given the versions v1 and v2 of tutor are registered
    When daemon-1 relays the first event of a stream from v2
    Then daemon-1 continues that stream at v2, without a call to the store

  Scenario: another daemon finds the origin in the store
    Given the versions v1 and v2 of tutor are registered
    When daemon-1 relays the first event of a stream from v2
    And daemon-1 writes origins for 1 s
    Then daemon-2 continues that stream at v2

  Scenario: another daemon is asked before the origin is stored
    Given the versions v1 and v2 of tutor are registered
    When daemon-1 relays the first event of a stream from v2
    Then daemon-2 continues that stream at v2, while daemon-1 writes origins

  Scenario: a daemon that has restarted keeps the origins of its earlier process
    Given the versions v1 and v2 of tutor are registered
    When daemon-1 relays the first event of a stream from v2
    And daemon-1 writes origins for 1 s
    And daemon-1 restarts
    And daemon-1 relays the first event of another stream from v1
    And daemon-1 writes origins for 1 s
    Then daemon-2 continues that stream at v1
    And daemon-2 continues the stream before at v2

  Scenario: a delayed write of an earlier process does not replace the row
    Given the versions v1 and v2 of tutor are registered
    When daemon-1 relays the first event of a stream from v2
    And the store delays writes
    And daemon-1 writes origins for 1 s
    And daemon-1 restarts
    And the store answers writes
    And daemon-1 relays the first event of another stream from v1
    And daemon-1 writes origins for 1 s
    And the store carries out the delayed writes
    Then daemon-2 continues that stream at v1

  Scenario: a write whose answer is lost is repeated soon
    Given the versions v1 and v2 of tutor are registered
    And the store loses the answer to every second write for as long as its caller waits
    When daemon-1 relays the first event of a stream from v2
    And daemon-1 writes origins for 1 s
    Then daemon-2 continues that stream at v2
    When daemon-1 relays the first event of another stream from v1
    And daemon-1 writes origins for 1 s
    Then daemon-2 continues that stream at v1

  Scenario: streams that began before the second version was registered are stored
    Given the versions v1 of tutor are registered
    When daemon-1 relays the first event of a stream from v1
    And daemon-1 writes origins for 1 s
    Then no origin is stored
    When servers of tutor run v1 and v2
    And daemon-1 writes origins for 3 s
    Then daemon-2 continues that stream at v1

  Scenario: streams that began before a second version was listed are stored at once
    Given the versions v1 of tutor are registered
    When daemon-1 relays the first event of a stream from v1
    And daemon-1 has written origins for 0.3 s when servers of tutor run v1 and v2
    Then daemon-2 continues that stream at v1

  Scenario: an unknown origin is rejected for good
    Given the versions v1 and v2 of tutor are registered
    Then daemon-2 rejects an unknown stream, without a time to retry

  Scenario: an origin that cannot be looked up is rejected with a time to retry
    Given the versions v1 and v2 of tutor are registered
    When the store is unavailable
    Then daemon-2 rejects an unknown stream, with a time to retry

  Scenario: an odd row among the origins leaves the others readable
    Given the versions v1 and v2 of tutor are registered
    When another writer leaves an odd row among the origins
    And daemon-1 relays the first event of a stream from v2
    And daemon-1 writes origins for 1 s
    Then daemon-2 continues that stream at v2

  Scenario: servers without a version are a version of their own
    Given the versions v1 of tutor are registered
    When servers of tutor run v1 and none
    Then streams may begin at v1 but not at none

  Scenario: a daemon that was out of step when a version was registered does not join two versions
    Given the versions v1 of tutor are registered
    When daemon-2 is out of step
    And servers of tutor run v1 and v2
    And daemon-1 keeps the registry for 4 s
    And daemon-1 relays the first event of a stream from v2
    And daemon-1 writes origins for 1 s
    Then daemon-2 continues that stream at v2

  Scenario: a daemon that was out of step continues a stream when it knows servers of its version
    Given the versions v1 of tutor are registered
    When daemon-2 is out of step
    And servers of tutor run v1 and v2
    And daemon-1 keeps the registry for 4 s
    And daemon-1 relays the first event of a stream from v2
    And daemon-1 writes origins for 1 s
    Then daemon-2 continues that stream at v2, when it is in step again after 0.2 s

  Scenario: a daemon that is out of step and cannot read the registry rejects what it does not know
    Given the versions v1 of tutor are registered
    When daemon-2 is out of step
    And servers of tutor run v1 and v2
    And daemon-1 keeps the registry for 4 s
    And the store is unavailable
    Then daemon-2 rejects an unknown stream, with a time to retry

  Scenario: streams begin at a further version only when no daemon can take the other one for the only one
    Given the versions v1 of tutor are registered
    When daemon-2 is out of step
    And servers of tutor run v1 and v2
    And daemon-1 keeps the registry for 1 s
    Then streams may begin at v1 but not at v2
    And a stream that began at daemon-2 goes on at v1, without a call to the store
    When daemon-1 keeps the registry for 1 s
    Then streams may begin at v1 and at v2
    And daemon-2 rejects an unknown stream, without a time to retry

  Scenario: servers of a further version came and went while a daemon was out of step
    Given the versions v1 of tutor are registered
    When daemon-2 is out of step
    And servers of tutor run v1 and v2
    And daemon-1 keeps the registry for 4 s
    And daemon-1 relays the first event of a stream from v2
    And daemon-1 writes origins for 1 s
    And servers of tutor run v1
    And daemon-2 is in step again
    Then daemon-2 continues that stream at v2

  Scenario: a version that came and went before it was registered is passed on with a peer's list
    Given the versions v1 of tutor are registered
    When daemon-2 is out of step
    And a server of v2 joins
    And the server of v2 leaves
    And daemon-2 takes the list of daemon-1
    Then daemon-2 rejects an unknown stream, without a time to retry

  Scenario: an entry that a daemon never saw is removed, so it reads the registry again
    Given the versions v1 of tutor are registered
    When daemon-2 is out of step
    And a server of v2 joins
    And daemon-1 keeps the registry for 4 s
    And daemon-2 learns only that the server of v2 has left
    Then daemon-2 rejects an unknown stream, without a time to retry

  Scenario: streams began at an unregistered version, and a daemon with an old list reads the registry first
    Given the versions v1 of tutor are registered
    When daemon-2 is out of step
    And servers of tutor run v1 and v2
    And the store is unavailable
    And daemon-1 keeps the registry for 2 s
    Then streams may begin at v1 and at v2
    When daemon-1 relays the first event of a stream from v2
    And the store is available again
    Then daemon-2 rejects an unknown stream, with a time to retry

  Scenario: a peer knows a stream that began at an unregistered version
    Given the versions v1 of tutor are registered
    And the daemons ask each other
    When daemon-2 is out of step
    And servers of tutor run v1 and v2
    And the store is unavailable
    And daemon-1 keeps the registry for 2 s
    And daemon-1 relays the first event of a stream from v2
    And the store is available again
    Then daemon-2 continues that stream at v2, when it is in step again after 0.2 s

  Scenario: a daemon with an old list waits for a newer one, which has one version only
    Given the versions v1 of tutor are registered
    When daemon-1 relays the first event of a stream from v1
    And daemon-2 is out of step
    And 2 s pass
    Then daemon-2 continues that stream at v1, when it is in step again after 0.2 s

  Scenario: streams begin at once at versions that were open before a daemon restarted
    Given the versions v1 of tutor are registered
    When servers of tutor run v1 and v2
    And daemon-1 keeps the registry for 4 s
    And daemon-1 restarts
    Then streams may begin at v1 and at v2

  Scenario: a daemon that restarts while a version is opening waits as well
    Given the versions v1 of tutor are registered
    When servers of tutor run v1 and v2
    And daemon-1 keeps the registry for 1 s
    And daemon-1 restarts
    Then streams may begin at v1 but not at v2

  Scenario: a new version that cannot be registered is waited for as well
    Given the versions v1 of tutor are registered
    When servers of tutor run v1 and v2
    And the store is unavailable
    And daemon-1 keeps the registry for 1 s
    Then streams may begin at v1 but not at v2

  Scenario: a version that returns after it was retired is waited for again
    Given the versions v1 and v2 of tutor are registered
    When servers of tutor run v2
    And daemon-1 keeps the registry for 130 s
    Then the registered versions of tutor are v2
    When the store is unavailable
    And servers of tutor run v1 and v2
    And daemon-1 keeps the registry for 1 s
    Then streams may begin at v2 but not at v1
    When daemon-1 keeps the registry for 1 s
    Then streams may begin at v1 and at v2

  Scenario: a listed version that another writer removed from the registry is waited for again
    Given the versions v1 and v2 of tutor are registered
    When 10 s pass
    And another writer leaves only v1 in the registry, which daemon-1 reads
    And the store is unavailable
    And daemon-1 keeps the registry for 1 s
    Then streams may begin at v1 but not at v2
    When daemon-1 keeps the registry for 1 s
    Then streams may begin at v1 and at v2

  Scenario: the last of several changes of the registry counts
    Given the versions v1 and v2 of tutor are registered
    When servers of tutor run v1
    And another writer leaves only v1 in the registry, which daemon-1 reads
    And another writer leaves only v1 and v2 in the registry, which daemon-2 reads
    Then daemon-2 rejects an unknown stream, without a time to retry

  Scenario Outline: a row of the registry that cannot be read leaves the last copy in force, <how>
    Given the versions v1 of tutor are registered
    When another writer leaves an odd row as the registry, which daemon-1 <reads>
    And servers of tutor run v1 and v2
    And daemon-1 keeps the registry for 1 s
    Then streams may begin at v1 but not at v2
    And the registered versions of tutor are v1 and v2
    When daemon-1 keeps the registry for 2 s
    Then streams may begin at v1 and at v2

    Examples:
      | how              | reads                |
      | when it is read  | reads                |
      | after a conflict | finds when it writes |

  Scenario: a daemon that has only seen an odd row knows no registry
    Given the versions v1 of tutor are registered
    When another writer leaves an odd row as the registry, which daemon-1 reads
    And daemon-1 restarts, and cannot read the registry
    Then daemon-1 rejects an unknown stream, with a time to retry

  Scenario: an odd row does not confirm an old copy, and is replaced by a daemon that has a newer one
    Given the versions v1 of tutor are registered
    When daemon-2 is out of step
    And servers of tutor run v1 and v2
    And daemon-1 keeps the registry for 4 s
    And servers of tutor run v1
    And another writer leaves an odd row as the registry, which daemon-1 reads
    And daemon-2 is in step again
    Then daemon-2 rejects an unknown stream, with a time to retry
    When daemon-1 keeps the registry for 1 s
    Then the registered versions of tutor are v1 and v2
    And daemon-2 rejects an unknown stream, without a time to retry

  Scenario: the daemon that relayed a stream is asked while the store is unavailable
    Given the versions v1 and v2 of tutor are registered
    And the daemons ask each other
    When daemon-1 relays the first event of a stream from v2
    And the store is unavailable
    Then daemon-2 continues that stream at v2

  Scenario: streams that are resumed in a moment share a question to each peer
    Given the versions v1 and v2 of tutor are registered
    And the daemons ask each other
    When daemon-1 relays the first event of a stream from v2
    And daemon-1 relays the first event of another stream from v2
    And daemon-1 relays the first event of another stream from v2
    Then daemon-2 continues all streams at v2, with one call to its peer

  Scenario: a daemon dies before its origins are stored, and a peer knows them
    Given the versions v1 and v2 of tutor are registered
    And the daemons ask each other
    And the store is unavailable
    When daemon-1 relays the first event of a stream from v2
    And daemon-1 replicates origins for 0.1 s
    And daemon-1 does not answer its peers
    Then daemon-2 continues that stream at v2, without a call to the store

  Scenario: a daemon stands still from before a second version was listed, and a peer knows its origins
    Given the versions v1 of tutor are registered
    And the daemons ask each other
    When daemon-1 relays the first event of a stream from v1
    And daemon-1 replicates origins for 1.0 s
    And daemon-1 is out of step
    And daemon-1 does not answer its peers
    And servers of tutor run v1 and v2
    Then daemon-2 continues that stream at v1, without a call to the store

  Scenario: origins from before a second version was listed are replicated as well
    Given the versions v1 of tutor are registered
    And the daemons ask each other
    When daemon-1 relays the first event of a stream from v1
    And servers of tutor run v1 and v2
    And the store is unavailable
    And daemon-1 replicates origins for 0.1 s
    And daemon-1 does not answer its peers
    Then daemon-2 continues that stream at v1, without a call to the store

  Scenario: a peer that does not answer may know the origin, so there is a time to retry
    Given the versions v1 and v2 of tutor are registered
    And the daemons ask each other
    When daemon-1 does not answer its peers
    Then daemon-2 rejects an unknown stream, with a time to retry

  Scenario: a question to a peer fails unexpectedly, so there is a time to retry
    Given the versions v1 and v2 of tutor are registered
    And the daemons ask each other
    When questions to daemon-1 fail unexpectedly
    Then daemon-2 rejects an unknown stream, with a time to retry

  Scenario: a question to one peer fails unexpectedly, and another peer knows the origin
    Given the versions v1 and v2 of tutor are registered
    And the daemons ask each other
    When questions to daemon-0 fail unexpectedly
    And daemon-1 relays the first event of a stream from v2
    And the store is unavailable
    Then daemon-2 continues that stream at v2

  Scenario: a look-up in the store fails unexpectedly, and a peer knows the origin
    Given the versions v1 and v2 of tutor are registered
    And the daemons ask each other
    When daemon-1 relays the first event of a stream from v2
    And calls to the store fail unexpectedly
    Then daemon-2 continues that stream at v2

  Scenario Outline: a search in the store fails unexpectedly, so there is a time to retry, <versions>
    Given the versions <versions> of tutor are registered
    When 2 s pass
    And calls to the store fail unexpectedly
    Then daemon-2 rejects an unknown stream, with a time to retry

    Examples:
      | versions  |
      | v1        |
      | v1 and v2 |

  Scenario: no peer knows the origin, so it is rejected for good
    Given the versions v1 and v2 of tutor are registered
    And the daemons ask each other
    Then daemon-2 rejects an unknown stream, without a time to retry

  Scenario: a daemon that has just started waits for its configuration before it refuses a resumed stream
    Given a daemon that has just started, whose configuration arrives after 0.2 s
    Then a new stream is refused at once, as no configuration is known
    And a resumed stream is handled by the configuration

  Scenario Outline: the head of a relayed stream is not taken for the version of its first event
    When a peer sends the head of a relayed stream with <headers>
    Then the version of its first event is <version>, and of an event that must have v1 it is <required>

    Examples:
      | headers                                     | version | required |
      | no version                                  | unknown | v1       |
      | loomwind-software=v2                        | unknown | v1       |
      | loomwind-software=v2 and loomwind-origin=v1 | v1      | v1       |
