Feature: All daemons learn in time that a server leaves, whatever one way of learning it does

  Scenario Outline: a server that leaves gets no request after the drain bound: <trouble>
    Given a fleet of <daemons> daemons, <mirrors> of them mirrors, under a bound of <bound> s
    And entries of servers that change twice a second
    When <trouble>, and a server says that it leaves, in each of 4 plays
    Then each daemon that has a way to know stops using it within the bound

    Examples: fleets and troubles
      | daemons | mirrors | bound | trouble                                               |
      | 69      | 3       | 3.0   | all is well                                           |
      | 69      | 3       | 3.0   | the feeds hear nothing for 1 s and lose their history |
      | 69      | 3       | 3.0   | the store refuses a third of the daemons              |
      | 69      | 3       | 3.0   | the store is silent to a third of the daemons         |
      | 69      | 3       | 3.0   | the store is silent to all mirrors                    |
      | 69      | 3       | 3.0   | a mirror is cut off, and the feeds lose their history |
      | 69      | 3       | 3.0   | a third of the daemons is gone, the mirrors first     |
      | 195     | 7       | 4.0   | the store refuses a third of the daemons              |
      | 6       | 3       | 2.0   | a mirror is cut off, and the feeds lose their history |
      | 69      | 3       | 3.0   | gossip is lost                                        |
      | 69      | 3       | 3.0   | gossip is lost, and the store refuses a third         |
      | 69      | 3       | 3.0   | gossip is lost, and a mirror is cut off               |
      | 69      | 3       | 3.0   | gossip is lost, and the feeds lose their history      |

  Scenario: word of a departure counts until the store lists the server as ready at a later version
    Given a daemon that lists server s1 as ready at version 4
    When a peer says that s1 leaves as of version 7
    Then s1 gets no new work, and that is passed on once
    When the store's feed says at version 6 that s1 is ready and holds another model
    Then s1 gets no new work, and that is passed on once
    When the store's feed says at version 8 that s1 is ready and holds another model
    Then s1 gets new work

  Scenario: word of a departure that is no newer than the own list counts for nothing
    Given a daemon that lists server s1 as ready at version 8
    When a peer says that s1 leaves as of version 7
    Then s1 gets new work, and nothing is passed on

  Scenario: an entry that went and came back in one answer of the feed is no departure
    Given a daemon that lists server s1 as ready at version 4
    When the store's feed says in one answer that the entry of s1 went at version 6 and came at version 7
    Then s1 gets new work, and nothing is passed on

  Scenario: word that an entry has gone counts for nothing while the store is in trouble here
    Given a daemon that lists server s1 as ready at version 4
    And whose call of the store has just failed
    When a peer says that the entry of s1 has gone as of version 7
    Then s1 gets new work

  Scenario: a server that begins to leave while a connection to it is made gets no request
    Given a daemon that lists server s1 as ready at version 4
    When a request is sent to s1, which says that it leaves before the connection is made
    Then nothing was sent, the connection is kept, and the request may go to another server

  Scenario Outline: a message that each daemon forwards once to its fingers reaches all daemons
    Given the rows of <daemons> daemons
    When one of them sends a message, and each daemon forwards it once to its fingers
    Then all <daemons> have received it, in at most <hops> hops

    Examples:
      | daemons | hops |
      | 0       | 0    |
      | 1       | 0    |
      | 2       | 1    |
      | 6       | 3    |
      | 69      | 7    |
      | 320     | 9    |
