Feature: Requests whose server falls silent while it has them

  Background:
    Given a model server one that holds m1
    And a model server two that holds m1
    And a plain server shop
    And a plain server depot

  Scenario: streams of a server that pauses are not cut when the retry budget is empty
    Given the daemons may not retry
    And 3 pool daemons
    And every event of a stream takes 0.02 s
    When streams run at server one, and it is suspended for 1.0 s
    Then every stream that ran there is complete, and ran once

  Scenario: streams of a server that pauses are not cut by moves that spend the last retries
    Given the daemons may retry 10 times together
    And 3 pool daemons
    And every event of a stream takes 0.02 s
    When streams run at server one, server two fails more by close after its head after 0.3 s, and server one is suspended for 1.7 s
    Then every stream that ran there is complete

  Scenario: a stream that another server refuses goes on at its server after a pause
    Given 3 pool daemons
    And every event of a stream takes 0.02 s
    When streams run at server one, server two refuses more, and server one is suspended for 1.7 s
    Then every stream that ran there is complete, and ran once

  Scenario: streams of a server that hangs are completed by another one while it still hangs
    Given 3 pool daemons
    And every event of a stream takes 0.02 s
    When streams run at server one, and it hangs
    Then every stream that ran there is complete, and another server ran it
    And every stream was handed over less than 2 s after its last event

  Scenario Outline: a <route> request whose server pauses before it responds is not given up without a retry
    Given the daemons may not retry
    And 3 pool daemons
    And every event of a stream takes 0.5 s
    And every plain answer takes 0.5 s
    When <route> requests run at server <name>, and it is suspended for 2.0 s
    Then every request is answered, and ran once

    Examples: routes
      | route | name |
      | drill | one  |
      | look  | shop |

  Scenario Outline: streams of a server that pauses for <pause> s are not cut when another one fails new requests by <failure> after <delay> s
    Given 3 pool daemons
    And every event of a stream takes 0.02 s
    When streams run at server one, server two fails more by <failure> after <delay> s, and server one is suspended for <pause> s
    Then every stream that ran there is complete

    Examples: the other server
      | failure | delay | pause |
      | shed    | 0.1   | 1.7   |
      | shed    | 0.6   | 1.7   |
      | errors  | 0.6   | 1.7   |
      | close   | 0.6   | 1.7   |
      | reset   | 0.6   | 1.7   |
      | mute    | 0.6   | 1.7   |
      | trickle | 0.0   | 1.7   |
      | crash   | 0.6   | 1.7   |

    Examples: the other server, after it has begun its response
      | failure                | delay | pause |
      | close after its head   | 0.3   | 1.7   |
      | trickle after its head | 0.0   | 1.7   |

  Scenario: streams of a server that hangs move to one that needs 0.25 s to begin its response
    Given 3 pool daemons
    And every event of a stream takes 0.02 s
    When streams run at server one, server two begins more after 0.25 s, and server one hangs
    Then every stream that ran there is complete, and another server ran it
    And every stream was handed over less than 2 s after its last event

  Scenario: streams that a peer relays are not cut when their server pauses and another one fails
    Given links between daemon-1 and all servers
    And 3 pool daemons
    And every event of a stream takes 0.02 s
    When the links to the servers become refuse_new
    And streams run at server one, server two fails more by errors after 0.6 s, and server one is suspended for 1.7 s
    Then a peer has relayed some of them
    And every stream that ran there is complete
