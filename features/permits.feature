Feature: Permits for requests to servers that must not reject many

  Scenario: daemons never have more requests at a server than it has places, whatever messages are lost or late
    Then in any exchange of statements and grants the requests stay within the server's places

  Scenario: a permit is granted to a request that waits as soon as another one ends
    Given a ledger for a server of 2 slots
    When daemon one states 2 requests and daemon two wants 1 more
    Then daemon two is granted 0
    When daemon one states 1 requests
    Then daemon two is granted 1

  Scenario: after a rejection the server gets what it has in progress, and later one more
    Given a ledger for a server of 8 slots
    When daemon one states 6 requests
    And daemon one states 6 requests and 1 rejections
    Then the limit is 6
    When 2000 ms pass
    And daemon one states 6 requests
    Then the limit is 7

  Scenario: a server that rejects grants no permits until the second is over
    Given a ledger for a server of 8 slots
    When daemon one states 6 requests and 1 rejections
    And daemon one states 2 requests
    And daemon two wants 1 more
    Then daemon two is granted 0
    When 1000 ms pass
    Then daemon two is granted 1

  Scenario: a daemon that takes over a ledger grants little until all have stated their requests
    Given a ledger for a server of 8 slots, taken over
    When daemon two wants 4 more
    Then daemon two is granted 2
    When daemon one states 6 requests
    And 360 ms pass
    Then daemon two is granted 0

  Scenario: a daemon that got permits from another owner meanwhile takes the next grant for a new one
    Given a ledger for a server of 2 slots
    When daemon one wants 1 more
    And daemon one has noticed 7 grants and wants 1 more
    Then the last grant has a number above 7

  Scenario: a server whose number of slots changes keeps its requests in the ledger
    Given a ledger for a server of 4 slots
    When daemon one states 4 requests
    And the server has 2 slots
    And daemon two wants 1 more
    Then daemon two is granted 0

  Scenario: a daemon that says nothing any more loses its permits
    Given a ledger for a server of 2 slots
    When daemon one states 2 requests and daemon two wants 1 more
    And 1200 ms pass
    And daemon two wants 1 more
    Then daemon two is granted 1

  Scenario: a server that has fewer places than it states is given one more at a time
    Then a server that takes any part of its 16 slots never rejects too many, and gets them

  Scenario: the first rejection of a new server lowers the limit to what it has in progress
    Given a ledger for a new server of 8 slots
    When daemon one wants 8 more
    Then daemon one is granted 1
    When daemon one states 4 requests
    And daemon one states 3 requests and 1 rejections
    Then the limit is 3

  Scenario: a rejection for a model that is moved does not lower the limit
    Given a ledger for a server of 8 slots
    When daemon one states 6 requests
    And daemon one states 6 requests and 1 for a model that is moved
    Then the limit is 8

  Scenario Outline: a rejection for a model that is moved is not taken for want of a place
    Given a server that holds m1 and is loading <loading>
    When it rejects a request for <target>
    Then the daemon states <rejected> rejections and <refused> for a model that is moved

    Examples:
      | loading | target | rejected | refused |
      | nothing | m1     | 1        | 0       |
      | nothing | m2     | 0        | 1       |
      | m2      | m2     | 0        | 1       |
      | m2      | m1     | 1        | 0       |
      | m1      | m1     | 0        | 1       |

  Scenario: a server that rejects at random does not lose its places for good
    When a server with 8 places rejects 5 percent at random for 30 s
    Then it had 0.5 of its places in use on average
    When it rejects no more, 5 s pass
    Then its limit is 8

  Scenario: a daemon that keeps a ledger for a silent one grants no burst beside it
    Given a ledger for a server of 8 slots, kept for a daemon that is silent
    When daemon two wants 4 more
    Then daemon two is granted 1
    When 360 ms pass
    Then daemon two is granted 1
