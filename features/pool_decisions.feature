Feature: Components without I/O, driven by explicit time

  Scenario: retries of all daemons stay within the shared budget, also across restarts
    Given 6 daemons that share 52 retries plus 0.2 per request in 10 s
    When each gets 8 requests per second for 30 s, retries if allowed, restarts once
    Then no window of 10 s has more retries than the shared budget

  Scenario: loads stay within the rate limit of the weight store across a change of leader
    Given a weight store that allows 2.2 loads per second over 5 s
    When a leader starts every load it may, and so does its successor, which knows of these loads
    Then no window of 5 s exceeds 2.2 loads per second times 1.1 plus 3

  Scenario: a split route gives each service its share of any sequence of requests
    Given a route split 90 to 10
    When 200 requests are routed
    Then the shares are within 0.01 of the weights

  Scenario: the longest matching prefix of a host is chosen
    Given routes /a/ and /a/b/ of host one, and /a/ of host two
    Then host one routes /a/b/c to /a/b/ and /a/bc to /a/, and host three has no route for /a/

  Scenario: an event is relayed only when it is complete
    When a stream arrives in chunks of 7 bytes and is interrupted
    Then only complete events were relayed, and the last event id is known

  Scenario: a request that a server refuses without running it waits in the demand, whatever the budget
    Given a server that lists m1 and refuses it, and an exhausted retry budget
    When a request for m1 arrives
    Then the demand for m1 has a waiting request after one send

  Scenario: a request that ran at a server which is gone is not told that it has not run
    Given a service whose only server crashes with the request that it runs
    When a request that may be repeated arrives
    Then its refusal does not promise that it has not run

  Scenario: a retry for which no server is left costs nothing
    Given a service whose only server crashes with the request that it runs
    When a request that may be repeated arrives
    Then the retry that was not sent is in the budget again

  Scenario: a server that sends nothing while requests are in progress is suspect
    Given a server with two requests in progress since 10.0 s
    Then it is suspect at 10.8 s, and not at 10.6 s
    When data comes from it at 10.9 s
    Then it is suspect at 11.7 s, and not at 11.5 s
    When both requests have ended
    Then it is not suspect at 20.0 s

  Scenario: a server that keeps refusing a model is tried less and less often
    Given a server that lists m1
    When it refuses m1 whenever it is tried, for 8 s
    Then it was tried at most 7 times, and at once after the leader reports its models anew

  Scenario: a lease is taken over only after it expires, or at once when its holder has ended
    Given a lease of 3 s held by another daemon
    Then it is not taken over after 2.9 s, but after 3.0 s if the store is available
    And it is taken over at once when the holder is known to have ended
    And its holder stops leading before another daemon takes it over
