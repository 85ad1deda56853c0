Feature: Only the refusal of a request itself tells its caller that it has not run

  Responses to other requests, copies and lost connections tell nothing about a request that was
  sent. Without a refusal of its own, a once-only request is not sent again, and its caller is told
  that its outcome is not known. A repeatable one may be sent to two servers.

  Scenario Outline: a once-only request whose server first sends <answer>
    Given a server that first sends <answer>, and serves a request that it gets again
    When a once-only request is sent to it
    Then its caller is told <status>, and servers got it <sends> times
    And it has not run if its caller is told so
    And it ran at most once

    Examples:
      | answer                                                        | status | sends |
      | its refusal with 503                                          | 200    | 2     |
      | its refusal with 429                                          | 200    | 2     |
      | its refusal with 421                                          | 200    | 2     |
      | its refusal with 400                                          | 200    | 2     |
      | its refusal with 408                                          | 200    | 2     |
      | its refusal without a body                                    | 200    | 2     |
      | its refusal after an informational head                       | 200    | 2     |
      | its refusal in pieces                                         | 200    | 2     |
      | its refusal twice at once                                     | 200    | 2     |
      | its refusal, and a copy before the next answer                | 200    | 2     |
      | its refusal, and a copy without a body before the next answer | 200    | 2     |
      | a foreign refusal and its own                                 | 200    | 2     |
      | a foreign refusal and the answer                              | 200    | 1     |
      | a foreign 421 and the answer                                  | 200    | 1     |
      | a foreign 429 and the answer                                  | 200    | 1     |
      | a foreign 200 and the answer                                  | 200    | 1     |
      | a foreign refusal without a body and the answer               | 200    | 1     |
      | a foreign refusal without a body with the answer              | 200    | 1     |
      | a foreign refusal in chunks and the answer                    | 200    | 1     |
      | a foreign refusal in pieces and the answer                    | 200    | 1     |
      | a foreign refusal with the answer                             | 200    | 1     |
      | the answer with a foreign refusal                             | 200    | 1     |
      | the answer and a foreign refusal                              | 200    | 1     |
      | a foreign refusal after an informational head and the answer  | 200    | 1     |
      | two foreign refusals and the answer                           | 200    | 1     |
      | three foreign refusals and the answer                         | 200    | 1     |
      | a foreign refusal and a close                                 | 502    | 1     |
      | a foreign refusal and a reset                                 | 502    | 1     |
      | a foreign refusal and nothing                                 | 504    | 1     |
      | a foreign refusal without a body and a close                  | 502    | 1     |
      | a foreign refusal without a body and nothing                  | 504    | 1     |
      | nothing                                                       | 504    | 1     |
      | a close                                                       | 502    | 1     |
      | a reset                                                       | 502    | 1     |
      | a close within the head of its refusal                        | 502    | 1     |
      | a close within the head                                       | 502    | 1     |
      | a reset within the head                                       | 502    | 1     |
      | a close within the body                                       | 502    | 1     |
      | a reset within the body                                       | 502    | 1     |
      | an informational head and a close                             | 502    | 1     |
      | bytes that are no response                                    | 502    | 1     |
      | a refusal without an id and a close                           | 502    | 1     |
      | a refusal without an id and nothing                           | 504    | 1     |
      | an answer without an id and a close                           | 502    | 1     |
      | an answer without an id and nothing                           | 504    | 1     |
      | an answer without a stamp                                     | 502    | 1     |
      | a 503 without a stamp that does not say unstarted             | 502    | 1     |
      | its answer with 500                                           | 500    | 1     |
      | its answer with 504                                           | 504    | 1     |
      | its answer with 503                                           | 502    | 1     |
      | its answer with 429                                           | 502    | 1     |
      | its answer with 408                                           | 502    | 1     |

  Scenario Outline: a repeatable request whose server first sends <answer>
    Given a server that first sends <answer>, and serves a request that it gets again
    When a repeatable request is sent to it
    Then its caller is told <status>, and servers got it <sends> times

    Examples:
      | answer                                                        | status | sends |
      | its refusal with 503                                          | 200    | 2     |
      | its refusal with 429                                          | 200    | 2     |
      | its refusal with 421                                          | 200    | 2     |
      | its refusal with 400                                          | 200    | 2     |
      | its refusal with 408                                          | 200    | 2     |
      | its refusal without a body                                    | 200    | 2     |
      | its refusal after an informational head                       | 200    | 2     |
      | its refusal in pieces                                         | 200    | 2     |
      | its refusal twice at once                                     | 200    | 2     |
      | its refusal, and a copy before the next answer                | 200    | 2     |
      | its refusal, and a copy without a body before the next answer | 200    | 2     |
      | a foreign refusal and its own                                 | 200    | 2     |
      | a foreign refusal and the answer                              | 200    | 1     |
      | a foreign 421 and the answer                                  | 200    | 1     |
      | a foreign 429 and the answer                                  | 200    | 1     |
      | a foreign 200 and the answer                                  | 200    | 1     |
      | a foreign refusal without a body and the answer               | 200    | 1     |
      | a foreign refusal without a body with the answer              | 200    | 1     |
      | a foreign refusal in chunks and the answer                    | 200    | 1     |
      | a foreign refusal in pieces and the answer                    | 200    | 1     |
      | a foreign refusal with the answer                             | 200    | 1     |
      | the answer with a foreign refusal                             | 200    | 1     |
      | the answer and a foreign refusal                              | 200    | 1     |
      | a foreign refusal after an informational head and the answer  | 200    | 1     |
      | two foreign refusals and the answer                           | 200    | 1     |
      | three foreign refusals and the answer                         | 200    | 1     |
      | a foreign refusal and a close                                 | 200    | 2     |
      | a foreign refusal and a reset                                 | 200    | 2     |
      | a foreign refusal and nothing                                 | 504    | 1     |
      | a foreign refusal without a body and a close                  | 200    | 2     |
      | a foreign refusal without a body and nothing                  | 504    | 1     |
      | nothing                                                       | 504    | 1     |
      | a close                                                       | 200    | 2     |
      | a reset                                                       | 200    | 2     |
      | a close within the head of its refusal                        | 200    | 2     |
      | a close within the head                                       | 200    | 2     |
      | a reset within the head                                       | 200    | 2     |
      | a close within the body                                       | 200    | 2     |
      | a reset within the body                                       | 200    | 2     |
      | an informational head and a close                             | 200    | 2     |
      | bytes that are no response                                    | 200    | 2     |
      | a refusal without an id and a close                           | 200    | 2     |
      | a refusal without an id and nothing                           | 504    | 1     |
      | an answer without an id and a close                           | 200    | 2     |
      | an answer without an id and nothing                           | 504    | 1     |
      | an answer without a stamp                                     | 200    | 2     |
      | a 503 without a stamp that does not say unstarted             | 200    | 2     |
      | its answer with 500                                           | 200    | 2     |
      | its answer with 504                                           | 200    | 2     |
      | its answer with 503                                           | 200    | 2     |
      | its answer with 429                                           | 429    | 1     |
      | its answer with 408                                           | 408    | 1     |

  Scenario Outline: a once-only request whose server always sends <answer>
    Given a server that always sends <answer>
    When a once-only request is sent to it
    Then its caller is told <status>, and servers got it <sends> times
    And it has not run if its caller is told so
    And it ran at most once

    Examples:
      | answer                                         | status | sends |
      | its refusal with 503                           | 503    | 5     |
      | its refusal with 429                           | 503    | 5     |
      | its refusal with 421                           | 503    | 5     |
      | its refusal with 400                           | 503    | 5     |
      | its refusal with 408                           | 503    | 5     |
      | a foreign refusal and its own                  | 503    | 5     |
      | its refusal, and a copy before the next answer | 503    | 5     |

  Scenario Outline: a once-only request whose first peer <action>
    Given a daemon that reaches no server, and a peer that <action>, before one that serves
    When a once-only request is sent to the daemon
    Then its caller is told <status>, and peers got it <sends> times
    And it has not run if its caller is told so
    And it ran at most once

    Examples:
      | action                              | status | sends |
      | declines                            | 200    | 2     |
      | declines in two segments            | 200    | 2     |
      | refuses with 503                    | 503    | 1     |
      | refuses with 502                    | 502    | 1     |
      | refuses with 504                    | 504    | 1     |
      | fails                               | 502    | 1     |
      | fails with 503                      | 502    | 1     |
      | closes the connection               | 502    | 1     |
      | resets the connection               | 502    | 1     |
      | closes within the head of a decline | 502    | 1     |
      | closes within the body of a decline | 502    | 1     |
      | closes within the body of a refusal | 502    | 1     |
      | closes within the body of an answer | 502    | 1     |
      | sends nothing                       | 504    | 1     |
      | sends a part of a decline           | 504    | 1     |
      | sends bytes that are no response    | 502    | 1     |
      | sends a 503 of its HTTP layer       | 502    | 1     |
      | sends a 408 of its HTTP layer       | 502    | 1     |
      | passes on the answer                | 200    | 1     |
      | passes on an answer with 500        | 500    | 1     |
      | passes on an answer with 503        | 502    | 1     |
      | passes on an answer with 429        | 502    | 1     |

  Scenario Outline: a repeatable request whose first peer <action>
    Given a daemon that reaches no server, and a peer that <action>, before one that serves
    When a repeatable request is sent to the daemon
    Then its caller is told <status>, and peers got it <sends> times

    Examples:
      | action                              | status | sends |
      | declines                            | 200    | 2     |
      | declines in two segments            | 200    | 2     |
      | refuses with 503                    | 503    | 1     |
      | refuses with 502                    | 502    | 1     |
      | refuses with 504                    | 504    | 1     |
      | fails                               | 200    | 2     |
      | fails with 503                      | 200    | 2     |
      | closes the connection               | 200    | 2     |
      | resets the connection               | 200    | 2     |
      | closes within the head of a decline | 200    | 2     |
      | closes within the body of a decline | 200    | 2     |
      | closes within the body of a refusal | 200    | 2     |
      | closes within the body of an answer | 200    | 2     |
      | sends nothing                       | 504    | 1     |
      | sends a part of a decline           | 504    | 1     |
      | sends bytes that are no response    | 200    | 2     |
      | sends a 503 of its HTTP layer       | 200    | 2     |
      | sends a 408 of its HTTP layer       | 200    | 2     |
      | passes on the answer                | 200    | 1     |
      | passes on an answer with 500        | 500    | 1     |
      | passes on an answer with 503        | 503    | 1     |
      | passes on an answer with 429        | 429    | 1     |

  Scenario Outline: a relayed once-only request whose server always sends <answer>
    Given a server that always sends <answer>
    When a peer relays a once-only request to the daemon before it
    Then the peer is told <status> by <speaker>, and servers got it <sends> times
    And it has not run if its caller is told so
    And it ran at most once

    Examples:
      | answer                                 | status | speaker    | sends |
      | its refusal with 503                   | 503    | the daemon | 5     |
      | its refusal with 421                   | 503    | the daemon | 5     |
      | a foreign refusal and its own          | 503    | the daemon | 5     |
      | a foreign refusal and the answer       | 200    | the server | 1     |
      | a foreign refusal and a close          | 502    | the daemon | 1     |
      | a foreign refusal and nothing          | 504    | the daemon | 1     |
      | nothing                                | 504    | the daemon | 1     |
      | a close                                | 502    | the daemon | 1     |
      | a reset                                | 502    | the daemon | 1     |
      | a close within the head of its refusal | 502    | the daemon | 1     |
      | a close within the body                | 502    | the daemon | 1     |
      | bytes that are no response             | 502    | the daemon | 1     |
      | its answer with the header of a peer's decline| 200    | the server | 1     |
      | its answer with the header of a peer's refusal| 200    | the server | 1     |
      | its answer with 500                    | 500    | the server | 1     |
      | its answer with 503                    | 502    | the daemon | 1     |
      | its answer with 429                    | 502    | the daemon | 1     |

  Scenario: no sequence of answers has a once-only request run twice, or refused and run
    When once-only requests that reuse an id meet 80 sequences of answers
    Then each gets a whole response
    And they ran at most as often as callers were not told that they have not
    And some were served, some not run and some ended with an unknown outcome

  Scenario Outline: a request that was <history> ends by what is known of all its sends
    Given a request that was <history>
    Then a failure, its deadline and a peer's refusal end it with <failure>, <deadline> and <refusal>

    Examples:
      | history                                | failure | deadline | refusal |
      | not sent                               | 503     | 503      | 503     |
      | sent                                   | 502     | 504      | 502     |
      | sent, refused                          | 503     | 503      | 503     |
      | sent, failed                           | 502     | 504      | 502     |
      | sent, refused, sent                    | 502     | 504      | 502     |
      | sent, refused, sent, refused           | 503     | 503      | 503     |
      | sent, failed, sent, refused            | 502     | 504      | 502     |
      | sent, left for another server          | 502     | 504      | 502     |
      | sent, left for another server, refused | 502     | 504      | 502     |

  Scenario Outline: a once-only <kind> is sent again only when it was refused
    Given a once-only <kind>, and a budget with room for retries
    Then it is not sent again after any failure with which it may have run
    And it waits for its server however long that is silent
    And it is not sent to another server beside the one that has it

    Examples:
      | kind          |
      | plain request |
      | model request |
      | stream        |
