Feature: Few daemons read the store, and the others learn from them, or by themselves when they must

  Scenario: a daemon that asks a mirror makes no call of the store
    Given a daemon that has 3 mirrors and is none itself
    And mirrors whose word is 0.0 s old
    When it has followed the list for 5 questions
    Then it has called the store 0 times
    And it knows server s1

  Scenario: a daemon whose mirrors are behind reads the store itself
    Given a daemon that has 3 mirrors and is none itself
    And mirrors whose word is 9.0 s old
    When it has followed the list for 5 questions
    Then it has called the store 5 times

  Scenario: a daemon that reaches no mirror reads the store itself
    Given a daemon that has 3 mirrors and is none itself
    And mirrors that cannot be reached
    When it has followed the list for 5 questions
    Then it has called the store 5 times

  Scenario: a mirror reads the store itself
    Given a daemon that is a mirror itself
    When it has followed the list for 5 questions
    Then it has called the store 5 times

  Scenario: a copy of the list tells what is gone, and only what has changed
    Given a daemon that knows servers s1 and s2 at version 4
    When s1 changes what it holds at version 5, and s2 drains at version 6
    Then a peer at version 4 is sent s2 alone, and told of both
    When s1 goes at version 7
    Then a peer that had both knows s2 alone, as draining

  Scenario: what the leader tells of its lease counts as the row that it names
    Given a lease of 3 s held by another daemon
    When its holder tells at 102.0 s that it wrote version 9
    Then it is not taken before 105.0 s, and is then taken under version 9
    And a daemon that lets others go first takes it 0.7 s later
    And a late word of version 8 changes nothing

  Scenario: the leader's word goes before an entry that is older, whatever its revision
    Given an entry of server s1 at revision 19 that holds m1
    When the leader tells at 10.0 s that s1 holds m1 and m2 at revision 18
    Then s1 can run m2 at 10.1 s
    And s1 can run m2 at 19.0 s only if nothing newer is listed

  Scenario: a server that was seen leaving gets no new work while the store is in disruption
    Given a list of servers under a drain bound of 2.0 s
    When s1 is listed as draining, and its entry goes at 10.0 s while the store is in trouble
    Then s1 may not get work at 10.1 s

  Scenario: an entry that lapses while the store is away counts on for a while, and for good if it returns
    Given a list of servers under a drain bound of 2.0 s
    When s1 is listed as ready, and its entry goes at 10.0 s while the store is in trouble
    Then s1 may get work at 11.7 s
    And s1 may not get work at 11.9 s
    When s1 is listed as ready again
    Then s1 may get work at 20.0 s

  Scenario Outline: an entry that lapses counts on from when it may have gone, not from when that is known
    Given a list of servers under a drain bound of <bound> s
    When s1 is listed as ready, and its entry goes unnoticed at <gone> s, until <known> s in trouble
    Then s1 may get work at <last> s
    And s1 may not get work at <after> s

    Examples: the list was fresh a moment before, or not for so long that the store was away
      | bound | gone | known | last | after |
      | 4.0   | 10.0 | 10.1  | 13.5 | 13.7  |
      | 4.0   | 10.0 | 11.2  | 13.5 | 13.7  |
      | 4.0   | 10.0 | 20.0  | 23.5 | 23.7  |
      | 2.0   | 10.0 | 10.6  | 11.7 | 11.9  |

  Scenario: an entry that goes while the store is well is gone at once
    Given a list of servers under a drain bound of 2.0 s
    When s1 is listed as ready, and its entry goes at 10.0 s while the store is well
    Then s1 may not get work at 10.0 s

  Scenario: a daemon says that the store is away only while its own calls fail
    Given a daemon whose call of the store failed at 10.0 s
    Then it says at 10.5 s that the store is away
    And it says at 12.5 s nothing of the kind, though no call was answered since
    And its next call of a feed does not wait, so that an answer is known at once

  Scenario: a leader that stops hands its lease over only when its orders are answered
    Given a leader with an outstanding order that is answered late
    When it stops, and a pending lease renewal is answered after that
    Then it does not lead, and removes its row after the order was answered
