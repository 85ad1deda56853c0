Feature: A pool daemon exports counters and latency histograms

  Scenario: requests are counted and timed by kind and result
    Given a plain server shop
    And a model server one that holds m1
    And 1 pool daemons
    When a plain request on book is sent
    And a model request on draft for m3 is sent
    Then metric loomwind_request_seconds_count with kind=non_idempotent, end=served is 1
    And metric loomwind_request_seconds_count with kind=streaming, end=served is 1
    And metric loomwind_first_event_seconds_count is 1
    And metric loomwind_model_wait_seconds_count is 1
    And metric loomwind_waiting_for_model is 0

  Scenario: retries and failed attempts of a request are counted
    Given a plain server shop
    And a plain server shop2
    And 1 pool daemons
    And server shop has faults mode=errors
    And server shop2 has faults mode=errors
    When a plain request on look is sent
    Then metric loomwind_repeats_total with verdict=allowed is 1
    And metric loomwind_sends_total with end=failed is 1

  Scenario: streams are counted by the framing that ended them
    Given a model server one that holds m1
    And 1 pool daemons
    When a model request on draft for m1 is sent
    And server one has faults unframed=true
    And a model request on draft for m1 is sent
    Then metric loomwind_streams_ended_total with framing=chunked is 1
    And metric loomwind_streams_ended_total with framing=close is 1

  Scenario: calls to the store are counted by result
    Given a plain server shop
    And 1 pool daemons
    Then metric loomwind_store_calls_total with call=write, result=answered is at least 1
    When the store has faults mode=busy
    Then metric loomwind_store_calls_total with result=unavailable is at least 1
    And metric loomwind_lease_fence is at least 1

  Scenario: the store calls of a daemon are summed over its restarts
    Given log lines of a daemon with 2 store calls, then 5, and 3 after a restart
    Then the table of store calls has 8 calls of the daemon

  Scenario: servers beyond the maximum number of labels share one label
    Given a limit of 3 server labels
    When 10 servers are counted
    Then the labels are the first 3 and other
