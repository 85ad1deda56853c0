Feature: The hand-over of a request from a silent server, in virtual time

  Scenario Outline: the server that goes on when the silent one <silent> and the other one <other>
    Given a stream whose server <silent>
    And another server that <other>
    When the stream is read
    Then <outcome>
    And the silent server was left only if it had ended or the other one had responded
    And both servers had the request for at most 400 ms

    Examples: events
      | silent                    | other                                           | outcome                   |
      | goes on after 1200 ms     | has sent data and responds after 30 ms          | the silent server goes on |
      | goes on after 1400 ms     | has sent data and responds after 400 ms         | the silent server goes on |
      | goes on after 1400 ms     | has sent data and responds after 30 ms          | the other server goes on  |
      | goes on after 3000 ms     | has sent data and responds after 2000 ms        | the silent server goes on |
      | goes on after 1700 ms     | has sent data and refuses after 600 ms          | the silent server goes on |
      | goes on after 1700 ms     | has sent data and resets after 600 ms           | the silent server goes on |
      | goes on after 2500 ms     | has sent data and resets after 200, 200, 200 ms | the silent server goes on |
      | never goes on             | responds after 600, 100 ms                      | the other server goes on  |
      | never goes on             | responds after 600, 500, 100 ms                 | the other server goes on  |
      | never goes on             | has sent data and responds after 100 ms         | the other server goes on  |
      | goes on after 3000 ms     | is idle and responds after 100 ms               | the other server goes on  |
      | goes on after 3000 ms     | is idle and responds after 2000 ms              | the silent server goes on |
      | goes on after 3000 ms     | has sent data and refuses after 20 ms           | the silent server goes on |
      | goes on after 3000 ms     | has sent data and accepts no connection         | the silent server goes on |
      | breaks after 1400 ms      | has sent data and responds after 400 ms         | the other server goes on  |
      | breaks after 1400 ms      | is idle and responds after 400 ms               | the other server goes on  |
      | breaks after 1400 ms      | has sent data and refuses after 20 ms           | the stream fails          |
      | is replaced after 1400 ms | has sent data and responds after 600 ms         | the other server goes on  |
      | is replaced after 1200 ms | has sent data and responds after 600 ms         | the stream fails          |
      | goes on after 3000 ms     | has sent data and fails unexpectedly            | the silent server goes on |
      | goes on after 3000 ms     | may not be asked                                | the silent server goes on |

  Scenario: a retry whose request was not sent costs nothing
    Given a stream whose server goes on after 3000 ms
    And another server that has sent data and accepts no connection
    When the stream is read
    Then the silent server goes on
    And every retry was returned

  Scenario: a caller who leaves during a hand-over ends both attempts
    Given a stream whose server never goes on
    And another server that is idle and responds after 2000 ms
    When the stream is read, and its caller leaves after 1450 ms
    Then neither server has the request

  Scenario: a stream moves long before its caller gives up, after 2 s without an event
    Given a stream whose server never goes on
    And another server that has sent data and responds after 200 ms
    When the stream is read
    Then the silent server was left 1300 to 1700 ms after its last event

  Scenario: the decision about a silence is logged once, however often it is taken
    Given a stream whose server goes on after 3000 ms
    And another server that may not be asked
    When the stream is read
    Then one line tells that the silent server is kept, and why

  Scenario Outline: a server <is>, and was last heard at <heard> ms, when another is silent since 1000 ms: <may>
    When a server <is>, and was last heard at <heard> ms
    Then it <may> from one that is silent since 1000 ms

    Examples: servers
      | is                             | heard | may               |
      | has requests                   | 1200  | may take over     |
      | has requests                   | 900   | may not take over |
      | is idle                        | 900   | may take over     |
      | is suspect                     | 1200  | may not take over |
      | is being moved to              | 1200  | may not take over |
      | has 8 requests and gets 7 more | 1200  | may take over     |
      | has 8 requests and gets 8 more | 1200  | may not take over |

  Scenario: a server of the only other software version takes no stream over
    Given a silent server of version v1, and servers of versions v2 and v2 that were heard since
    Then no server takes its stream over
    But one does when a server of version v1 is heard as well

  Scenario: a stream is not sent again to a mute server while another one has not been asked
    Given a silent server of version v1, and servers of versions v1 and v1 that were heard since
    When the stream has been sent to server s1 in vain
    Then server s0 takes its stream over, whether s1 has requests or is idle
    But server s1 does when the route allows no further server
    And the stream is sent to server s0 when the silent server fails

  Scenario: a stream whose head named a software version is not taken over by another one before its first event
    Given a silent server of version v1, and servers of versions v2 and v2 that were heard since
    When its stream has no event yet
    Then a server takes its stream over before the head was passed on, and none after it

  Scenario: a silent server that a request was moved from is suspect until it sends data
    Given a server from which a request was moved at 10.0 s
    Then the server is suspect at 10.5 s, and not at 11.0 s
    When the server sends data at 10.2 s
    Then the server is not suspect at 10.3 s

  Scenario: an attempt that ends as its stream begins leaves no connection open
    When an attempt ends in the moment in which its stream begins
    Then its connection is closed

  Scenario: a peer moves a stream that it relays before the daemon that asked it does
    Then a stream counts as silent at a peer at least 400 ms later than at a server

  Scenario Outline: where a request may go that was sent to <events>, with <allowed> servers allowed and <retries> retries
    Given a request that <allowed> servers may run, and a retry budget of <retries>
    When it was sent to <events>
    Then while its server is silent, it may move to <move>
    And when its server fails, it may be sent to <retry>

    Examples: sends
      | allowed | retries | events                                                  | move        | retry             |
      | 1       | 9       | one                                                     | no server   | no server         |
      | 2       | 9       | one                                                     | any server  | any server        |
      | 2       | 0       | one                                                     | no server   | no server         |
      | 2       | 1       | one                                                     | no server   | any server        |
      | 2       | 2       | one                                                     | any server  | any server        |
      | 2       | 9       | one, two in vain                                        | two         | one or two        |
      | 2       | 0       | one, two in vain                                        | no server   | no server         |
      | 2       | 9       | one, two in vain, two in vain                           | two         | one or two        |
      | 2       | 9       | one, two in vain, two in vain, two in vain              | no server   | one or two        |
      | 2       | 9       | one, two and moved there                                | one         | one or two        |
      | 2       | 9       | one which failed, two                                   | one         | no server         |
      | 2       | 9       | one which rejected it, two                              | any server  | any server        |
      | 3       | 9       | one, two in vain                                        | any server  | any server        |
      | 3       | 9       | one, two in vain, three in vain                         | three or two | one or three or two |
      | 3       | 9       | one which failed, two, three in vain                    | one or three | one or three or two |

  Scenario: a request that was moved is not denied a retry that others have spent meanwhile
    Given a request that 2 servers may run, and a retry budget of 3
    When it is moved from one to two, and others spend all retries that are left
    Then others have spent 1 retry
    And when its server fails, it may be sent to one or two

  Scenario: the retry that was kept for a moved request is returned once it goes on
    Given a request that 2 servers may run, and a retry budget of 3
    When it is moved from one to two, which goes on, and others spend all retries that are left
    Then others have spent 2 retries

  Scenario Outline: a silent server counts as <state> when <evidence>
    Given a server that is silent since 2000 ms
    When <evidence>
    Then it counts as <state>

    Examples: evidence
      | evidence                                                    | state     |
      | nothing else is seen                                        | not ended |
      | its host refuses a connection at 2500 ms                    | not ended |
      | it says that it leaves, and refuses a connection at 2500 ms | not ended |
      | its entry is removed                                        | not ended |
      | its entry is removed, and it refuses one at 2500 ms         | not ended |
      | another server responds at its address                      | ended     |
      | a later process of it is listed                             | ended     |
      | an earlier process of it is listed                          | not ended |

  Scenario: a request whose new server fails goes back to the one that it came from, although that was silent
    Given a request that may go to servers one and two again, and has failed at two
    When server one was silent, and server three is idle
    Then it is sent to server one

  Scenario Outline: a replacement whose stream <brings> after its head counts as <state>
    When a replacement's stream <brings> after its head
    Then the replacement counts as <state>

    Examples: streams
      | brings                               | state                                |
      | brings an event                      | begun, and the whole event is read   |
      | brings an event in two parts         | begun, and the whole event is read   |
      | breaks                               | failed, and its connection is closed |
      | breaks in an event                   | failed, and its connection is closed |
      | brings part of an event, and nothing | not begun                            |
      | ends                                 | begun, and no event is read          |
