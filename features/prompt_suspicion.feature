Feature: Detection of prompt parts that crash servers

  Background:
    Given prompts with the shared parts route and session, and a unique last part

  Scenario: a part under which servers crash one after the other is banned, but not the part before it
    When servers crash at 0, 400 and 900 ms under route and bad
    Then bad is banned
    And route is not banned

  Scenario: a first part that crashes servers is banned, whatever follows it
    When a server crashes at 0 ms under route and one
    And a server crashes at 400 ms under route and two
    And a server crashes at 900 ms under route and three
    Then route is banned
    And one is not banned

  Scenario: simultaneous crashes, as when a rack loses power, ban no part
    When servers crash at 0, 20 and 40 ms under route and session
    Then route is not banned
    And session is not banned
    And a request with session may be retried

  Scenario: a part that was recently answered completely is not suspected
    When a request with route and session is answered completely at 0 ms
    And servers crash at 100, 500 and 1000 ms under route and session
    Then route is not banned
    And session is not banned

  Scenario: a suspected part that is answered completely is cleared
    When servers crash at 0, 400 and 900 ms under route and session
    And a request with route and session is answered completely at 1000 ms
    Then session is not banned

  Scenario: a request is not retried after two crashes under one of its parts
    When servers crash at 0 and 400 ms under route and bad
    Then bad is not banned
    And a request with bad may not be retried

  Scenario: one more crash after a ban bans the part again, for longer
    When servers crash at 0, 400 and 900 ms under route and bad
    And a server crashes at 130000 ms under route and bad
    Then bad is banned until 370000 ms

  Scenario: a request that crashes three servers is banned, and no part that it shares
    When servers crash at 0, 400 and 900 ms under route and session and the request one
    Then the request one is banned
    And route is not banned
    And session is not banned

  Scenario: servers that were up after the crash before end for a cause of their own
    When servers crash at 0, 20 and 40 ms under route and session and the request one, each up 10 ms before
    Then the request one is banned

  Scenario: a power loss of a rack bans no request
    When servers crash at 0, 20 and 40 ms under route and session and the request one
    Then the request one is not banned

  Scenario: a part that crashes servers is banned although requests with it are repeated
    When servers crash at 0 and 200 ms under route and bad and the request one
    And servers crash at 400 and 600 ms under route and bad and the request two
    Then bad is banned
    And the request one is not banned

  Scenario: a request that was answered a moment ago may have begun to crash servers
    When the request one is answered completely at 0 ms
    And servers crash at 100, 500 and 1000 ms under route and session and the request one
    Then the request one is banned

  Scenario: an equal request that is answered elsewhere clears the request
    When servers crash at 0 and 400 ms under route and session and the request one
    And the request one is answered completely at 500 ms
    And servers crash at 900 and 1300 ms under route and session and the request one
    Then the request one is not banned

  Scenario: a server that ends under many requests costs a look at each, not at each pair
    When a server crashes under 1000 requests that share route and session, and another one again
    Then servers were looked up at most 20000 times

  Scenario: a connection that broke while its server goes on is no crash
    When servers crash at 0 and 400 ms under route and session and the request one
    And the last of them is heard at 800 ms
    And servers crash at 900 ms under route and session and the request one
    Then the request one is not banned
    When servers crash at 1300 ms under route and session and the request one
    Then the request one is banned

  Scenario: a crash and an answer that a daemon has seen before it heard of the crash
    Given 6 daemons that tell each other of crashes and answers
    When a server crashes under the request one at the first daemon, and the second one answers it after 5 ms
    Then the daemons fall silent after at most 200 messages
    And no daemon suspects the request one

  Scenario: a crash that an answer has cleared is not taken for a new one when peers tell of it
    Given 6 daemons that tell each other of crashes and answers
    When a server crashes under the request one at the first daemon, and the second one answers it after 25 ms
    Then the daemons fall silent after at most 200 messages
    And no daemon suspects the request one
