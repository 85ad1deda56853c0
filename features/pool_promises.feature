Feature: Guarantees of a pool daemon about requests under failures

  Scenario: a request that is running at its deadline is not reported as not run
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults mode=mute
    When a plain request on book begins with 0.5 s to its deadline
    Then the last reply has status 504
    And the last request ran 1 times

  Scenario: a non-idempotent request is not retried after its response is lost
    Given a plain server shop
    And a plain server shop2
    And 1 pool daemons
    And server shop has faults mode=reset
    And server shop2 has faults mode=reset
    When a plain request on book is sent
    Then the last reply has status 502
    And the last request ran 1 times

  Scenario: an idempotent request is retried at another server
    Given a plain server shop
    And a plain server shop2
    And 1 pool daemons
    And server shop has faults mode=errors
    When a plain request on look is sent
    Then the last reply has status 200

  Scenario: a request that every server rejects without running it gets 503
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults mode=shed
    When a plain request on book is sent
    Then the last reply has status 503
    And the last request ran 0 times

  Scenario: a response that belongs to another request is not relayed
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults surplus=true
    When a plain request on book is sent
    And a plain request on book is sent
    And a plain request on book is sent
    Then every reply has the body of its own request

  Scenario: a truncated stream is resumed at another server
    Given a model server one that holds m1
    And a model server two that holds m1
    And 1 pool daemons
    And server one has faults cut_after_events=3
    And server two has faults cut_after_events=4
    When a stream on drill for m1 with 6 events begins
    Then the last reply is complete with 6 events in order

  Scenario: truncation of a stream that is not resumable is visible to the caller
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults cut_after_events=2
    When a stream on draft for m1 with 6 events begins
    Then the last reply is truncated after a complete event
    And the last request ran 1 times

  Scenario: truncation of a close-delimited stream inside an event is visible to the caller
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults unframed=true, cut_after_events=2
    When a stream on draft for m1 with 6 events begins
    Then the last reply is truncated after a complete event
    And the last request ran 1 times

  Scenario: truncation of a stream is visible to a caller of HTTP 1.0
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults cut_after_events=2
    When a caller of HTTP 1.0 reads a stream on draft for m1 with 6 events
    Then it got 2 events, and its connection did not end as after a complete response

  Scenario: a close-delimited stream truncated inside an event is resumed at another server
    Given a model server one that holds m1
    And a model server two that holds m1
    And 1 pool daemons
    And server one has faults unframed=true, cut_after_events=3
    And server two has faults unframed=true, cut_after_events=4
    When a stream on drill for m1 with 6 events begins
    Then the last reply is complete with 6 events in order

  Scenario: close-delimited responses are relayed completely
    Given a model server one that holds m1
    And a plain server shop
    And 1 pool daemons
    And server one has faults unframed=true
    And server shop has faults unframed=true
    When a stream on draft for m1 with 6 events begins
    Then the last reply is complete with 6 events in order
    When a plain request on book is sent
    Then the last reply has status 200
    And the last reply's body is "POST /book/item hello"

  Scenario: close-delimited responses of HTTP 1.0 are relayed completely
    Given a model server one that holds m1
    And a plain server shop
    And 1 pool daemons
    And server one has faults unframed=true, http_version=1.0
    And server shop has faults unframed=true, http_version=1.0
    When a stream on draft for m1 with 6 events begins
    Then the last reply is complete with 6 events in order
    When a plain request on book is sent
    Then the last reply has status 200
    And the last reply's body is "POST /book/item hello"

  Scenario Outline: a close-delimited response of HTTP <version> that ends with a reset is not complete
    Given a model server one that holds m1
    And a plain server shop
    And 1 pool daemons
    And server one has faults unframed=true, resets_at_end=true, http_version=<version>
    And server shop has faults unframed=true, resets_at_end=true, http_version=<version>
    When a stream on draft for m1 with 6 events begins
    Then the last reply is truncated after a complete event
    When a plain request on book is sent
    Then the last reply has status 502
    And the last request ran 1 times

    Examples:
      | version |
      | 1.0     |
      | 1.1     |

  Scenario: a close-delimited stream that ends with a reset also when it is resumed is not complete
    Given a model server one that holds m1
    And a model server two that holds m1
    And 1 pool daemons
    And server one has faults unframed=true, resets_at_end=true
    And server two has faults unframed=true, resets_at_end=true, cut_after_events=3
    When a stream on drill for m1 with 6 events begins
    Then the last reply is truncated after 6 events in order

  Scenario: a close-delimited stream that ends with a reset is completed by another server
    Given a model server one that holds m1
    And a model server two that holds m1
    And 1 pool daemons
    And server one has faults unframed=true, resets_at_end=true, cut_after_events=2
    When a stream on drill for m1 with 6 events begins
    Then the last reply is complete with 6 events in order

  Scenario: the execution of a request is cancelled when its caller disconnects
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.2
    When a caller disconnects during a stream for m1
    Then its execution on server one is cancelled

  Scenario: a graceful shutdown lets running streams complete
    Given a model server one that holds m1
    And a plain server shop
    And 1 pool daemons
    And server one has faults event_seconds=0.1
    When a stream on draft for m1 with 15 events begins
    And it runs at server one
    And the first daemon gets SIGTERM
    Then the first daemon is not ready
    And the last reply is complete with 15 events in order
    And the first daemon exits with status 0

  Scenario: a request that waits for a model is rejected before a graceful shutdown ends
    Given routes with a target latency of 20 s
    And a model server one that holds m1
    And 1 pool daemons
    And server one has faults late_order_seconds=60
    When a model request on draft for m3 begins with 20.0 s to its deadline
    And it waits at the first daemon
    And the first daemon gets SIGTERM
    Then the last reply has status 503
    And the first daemon exits with status 0

  Scenario: a request for a model that is being unloaded waits and is served
    Given routes with a target latency of 8 s
    And servers with 60000 MB
    And a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.1
    When a stream on draft for m1 with 15 events begins
    And it runs at server one
    And a stream on draft for m3 with 3 events begins
    And server one is unloading
    And a model request on draft for m1 is sent
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: a model server that restarts with the same instance id gets its models loaded again
    Given a model server one that holds m1
    And 1 pool daemons
    When a model request on draft for m2 is sent
    And server one restarts with the same instance id and no models
    And a model request on draft for m1 is sent
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: after a model's only server is killed, another server loads the model
    Given a model server one that holds m1
    And a model server two that holds nothing
    And 1 pool daemons
    When server one is killed
    And a model request on draft for m1 is sent
    Then the last reply is complete with 3 events in order

  Scenario: a stream whose model is lost from all servers ends before the caller's timeout
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.2
    When a stream on drill for m1 with 15 events begins
    And it runs at server one
    And server one is killed
    Then the last reply is truncated after a complete event
    And metric loomwind_request_seconds_count with end=given-up is 1
