Feature: All daemons learn of a departing server in time, even if one source of updates fails

  Scenario Outline: a departing server gets no requests after the drain bound: <fault>
    Given a fleet of <daemons> daemons with <mirrors> mirrors and a bound of <bound> s
    And server entries that change twice a second
    When <fault>, and a server starts draining, in each of 4 runs
    Then each daemon that can learn of it stops using the server within the bound

    Examples: fleets and faults
      | daemons | mirrors | bound | fault                                                                     |
      | 69      | 3       | 3.0   | nothing fails                                                             |
      | 69      | 3       | 3.0   | the feeds stall for 1 s and lose their history                            |
      | 69      | 3       | 3.0   | the store refuses the calls of a third of the daemons                     |
      | 69      | 3       | 3.0   | the store does not respond to a third of the daemons                      |
      | 69      | 3       | 3.0   | the store does not respond to any mirror                                  |
      | 69      | 3       | 3.0   | a mirror is isolated, and the feeds lose their history                    |
      | 69      | 3       | 3.0   | the mirrors and a third of the daemons are down                           |
      | 195     | 7       | 4.0   | the store refuses the calls of a third of the daemons                     |
      | 6       | 3       | 2.0   | a mirror is isolated, and the feeds lose their history                    |
      | 69      | 3       | 3.0   | gossip is lost                                                            |
      | 69      | 3       | 3.0   | gossip is lost, and the store refuses the calls of a third of the daemons |
      | 69      | 3       | 3.0   | gossip is lost, and a mirror is isolated                                  |
      | 69      | 3       | 3.0   | gossip is lost, and the feeds lose their history                          |

  Scenario: a departure notice is valid until the store lists the server as ready at a later version
    Given a daemon that lists server s1 as ready at version 4
    When a peer reports at version 7 that s1 is draining
    Then s1 gets no requests, and its departure is forwarded once
    When the store's feed lists s1 at version 6 as ready with another model
    Then s1 gets no requests, and its departure is forwarded once
    When the store's feed lists s1 at version 8 as ready with another model
    Then s1 gets requests

  Scenario: a departure notice that is not newer than the daemon's own list is ignored
    Given a daemon that lists server s1 as ready at version 8
    When a peer reports at version 7 that s1 is draining
    Then s1 gets requests, and nothing is forwarded

  Scenario: an entry that is removed and added again in one feed response is no departure
    Given a daemon that lists server s1 as ready at version 4
    When one feed response removes the entry of s1 at version 6 and adds it again at version 7
    Then s1 gets requests, and nothing is forwarded

  Scenario: a notice of a removed entry is ignored shortly after an own call to the store failed
    Given a daemon that lists server s1 as ready at version 4
    And whose call to the store has just failed
    When a peer reports at version 7 that the entry of s1 was removed
    Then s1 gets requests

  Scenario: a server that starts draining while a connection to it is opened gets no request
    Given a daemon that lists server s1 as ready at version 4
    When a request is sent to s1, which starts draining before the connection is open
    Then nothing was sent, the connection is kept, and the request may go to another server

  Scenario Outline: gossip that each daemon forwards once to its gossip targets reaches all daemons
    Given the rows of <daemons> daemons
    When one of them sends a message, and each daemon forwards it once to its gossip targets
    Then all <daemons> have received it, in at most <hops> hops

    Examples:
      | daemons | hops |
      | 0       | 0    |
      | 1       | 0    |
      | 2       | 1    |
      | 6       | 3    |
      | 69      | 7    |
      | 320     | 9    |
