Feature: A few daemons poll the store; the others query them and poll it only as a fallback

  Scenario: a daemon that queries a mirror does not call the store
    Given a daemon that has 3 mirrors and is not a mirror
    And mirrors whose lists are 0.0 s old
    When it has polled the list 5 times
    Then it has called the store 0 times
    And it knows server s1

  Scenario: a daemon whose mirrors have outdated lists polls the store itself
    Given a daemon that has 3 mirrors and is not a mirror
    And mirrors whose lists are 9.0 s old
    When it has polled the list 5 times
    Then it has called the store 5 times

  Scenario: a daemon that can reach no mirror polls the store itself
    Given a daemon that has 3 mirrors and is not a mirror
    And mirrors that cannot be reached
    When it has polled the list 5 times
    Then it has called the store 5 times

  Scenario: a mirror polls the store itself
    Given a daemon that is a mirror
    When it has polled the list 5 times
    Then it has called the store 5 times

  Scenario: a copy of the list shows removed servers, and contains changed entries only
    Given a daemon that knows servers s1 and s2 at version 4
    When s1 changes its models at version 5, and s2 starts draining at version 6
    Then a peer at version 4 is sent the entry of s2 only, and the names of both
    When s1 is removed at version 7
    Then a peer that had both knows only s2, as draining

  Scenario: a lease notice from the leader counts like the row that it describes
    Given a lease of 3 s held by another daemon
    When its holder reports at 102.0 s that it wrote version 9
    Then it is not acquired before 105.0 s, and then with expected version 9
    And a daemon that yields to standbys acquires it 0.7 s later
    And a late notice of version 8 changes nothing

  Scenario: holdings from the leader override an older entry, whatever its revision
    Given an entry of server s1 at revision 19 that holds m1
    When the leader reports at 10.0 s that s1 holds m1 and m2 at revision 18
    Then s1 can run m2 at 10.1 s
    And s1 can run m2 at 19.0 s only if its listed entry is not newer

  Scenario: a server that was draining gets no requests while the store is not stable
    Given a server list with a drain bound of 2.0 s
    When s1 is listed as draining, and its entry is removed at 10.0 s while the store is not stable
    Then s1 may not get requests at 10.1 s

  Scenario: a server whose entry lapses while the store is unstable is kept for a grace period, or until listed again
    Given a server list with a drain bound of 2.0 s
    When s1 is listed as ready, and its entry is removed at 10.0 s while the store is not stable
    Then s1 may get requests at 11.7 s
    And s1 may not get requests at 11.9 s
    When s1 is listed as ready again
    Then s1 may get requests at 20.0 s

  Scenario Outline: the grace period starts when the entry may have lapsed, not when that is noticed
    Given a server list with a drain bound of <bound> s
    When s1 is listed as ready, and its entry lapses at <lapsed> s, noticed at <noticed> s while unstable
    Then s1 may get requests at <last> s
    And s1 may not get requests at <after> s

    Examples: the list was fresh moments before, or so long ago that the store was unavailable
      | bound | lapsed | noticed | last | after |
      | 4.0   | 10.0   | 10.1    | 13.5 | 13.7  |
      | 4.0   | 10.0   | 11.2    | 13.5 | 13.7  |
      | 4.0   | 10.0   | 20.0    | 23.5 | 23.7  |
      | 2.0   | 10.0   | 10.6    | 11.7 | 11.9  |

  Scenario: a server whose entry is removed while the store is stable is dropped at once
    Given a server list with a drain bound of 2.0 s
    When s1 is listed as ready, and its entry is removed at 10.0 s while the store is stable
    Then s1 may not get requests at 10.0 s

  Scenario: a daemon reports the store as unavailable only while its own calls fail
    Given a daemon whose call to the store failed at 10.0 s
    Then it reports at 10.5 s that the store is unavailable
    And it no longer reports that at 12.5 s, although no call has succeeded since
    And its next feed call does not wait, so that a response is received at once

  Scenario: a leader that stops hands its lease over only when its orders are answered
    Given a leader with an outstanding order that is answered late
    When it stops, and a pending lease renewal is answered after that
    Then it does not lead, and removes its row after the order was answered
