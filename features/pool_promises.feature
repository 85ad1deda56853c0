Feature: What a pool daemon promises of a request holds under failure

  Scenario: a request that runs when its time is over is not said to be unstarted
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults mode=mute
    When a plain request on book begins with 0.5 s to its deadline
    Then the last reply has status 504
    And the last request ran 1 times

  Scenario: a request that may run once is not sent again after its answer is lost
    Given a plain server shop
    And a plain server shop2
    And 1 pool daemons
    And server shop has faults mode=reset
    And server shop2 has faults mode=reset
    When a plain request on book is sent
    Then the last reply has status 502
    And the last request ran 1 times

  Scenario: a request that may be repeated is sent to another server
    Given a plain server shop
    And a plain server shop2
    And 1 pool daemons
    And server shop has faults mode=errors
    When a plain request on look is sent
    Then the last reply has status 200

  Scenario: a request that every server refuses unstarted is said to be unstarted
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults mode=shed
    When a plain request on book is sent
    Then the last reply has status 503
    And the last request ran 0 times

  Scenario: an answer that belongs to another request is not passed on
    Given a plain server shop
    And 1 pool daemons
    And server shop has faults surplus=true
    When a plain request on book is sent
    And a plain request on book is sent
    And a plain request on book is sent
    Then every reply has the body of its own request

  Scenario: a stream that breaks off is resumed at another server
    Given a model server one that holds m1
    And a model server two that holds m1
    And 1 pool daemons
    And server one has faults cut_after_events=3
    And server two has faults cut_after_events=4
    When a stream on drill for m1 with 6 events begins
    Then the last reply is complete with 6 events in order

  Scenario: a stream that may not be repeated ends visibly
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults cut_after_events=2
    When a stream on draft for m1 with 6 events begins
    Then the last reply is truncated after a complete event
    And the last request ran 1 times

  Scenario: an unframed stream that breaks off inside an event ends visibly
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults unframed=true, cut_after_events=2
    When a stream on draft for m1 with 6 events begins
    Then the last reply is truncated after a complete event
    And the last request ran 1 times

  Scenario: an unframed stream that breaks off inside an event is resumed at another server
    Given a model server one that holds m1
    And a model server two that holds m1
    And 1 pool daemons
    And server one has faults unframed=true, cut_after_events=3
    And server two has faults unframed=true, cut_after_events=4
    When a stream on drill for m1 with 6 events begins
    Then the last reply is complete with 6 events in order

  Scenario: unframed answers that end with their connection are passed on whole
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

  Scenario: answers of HTTP 1.0, which end with their connection, are passed on whole
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

  Scenario: a caller that leaves has its work cancelled
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.2
    When a caller disconnects during a stream for m1
    Then its execution on server one is cancelled

  Scenario: a planned stop cuts no stream, and refuses what waits for a model
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

  Scenario: a request that waits for a model gets its answer before a planned stop ends
    Given routes with a target latency of 20 s
    And a model server one that holds m1
    And 1 pool daemons
    And server one has faults late_order_seconds=60
    When a model request on draft for m3 begins with 20.0 s to its deadline
    And it waits at the first daemon
    And the first daemon gets SIGTERM
    Then the last reply has status 503
    And the first daemon exits with status 0

  Scenario: a request for a model that is being unloaded waits for it and is served
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

  Scenario: a model server that starts again under its name is loaded anew
    Given a model server one that holds m1
    And 1 pool daemons
    When a model request on draft for m2 is sent
    And server one restarts with the same instance id and no models
    And a model request on draft for m1 is sent
    Then the last reply is complete with 3 events in order
    And no order overcommitted a server

  Scenario: a request whose only server has died is served by another that loads the model
    Given a model server one that holds m1
    And a model server two that holds nothing
    And 1 pool daemons
    When server one is killed
    And a model request on draft for m1 is sent
    Then the last reply is complete with 3 events in order

  Scenario: a stream whose model is at no server any more ends before its caller has to give it up
    Given a model server one that holds m1
    And 1 pool daemons
    And server one has faults event_seconds=0.2
    When a stream on drill for m1 with 15 events begins
    And it runs at server one
    And server one is killed
    Then the last reply is truncated after a complete event
    And metric loomwind_request_seconds_count with end=given-up is 1
