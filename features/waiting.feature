Feature: A request waits for its model only if it can be served; otherwise it is refused at once with a retry time

  Scenario Outline: decision for a request that has <left> s left, whose model is not loaded and whose caller waits up to 10 s for an event
    Given a request that arrived at 0.0 s with <left> s left, whose caller gives up after 10.0 s
    When the leader's estimate at <now> s is <estimate>, and a load usually takes 6 s
    Then the request <decision>

    Examples:
      | left | now | estimate | decision                                 |
      | 25.0 | 0.1 | 1.5 s    | waits                                    |
      | 25.0 | 0.1 | 4.0 s    | waits                                    |
      | 25.0 | 0.9 | 4.0 s    | waits                                    |
      | 25.0 | 0.1 | 9.0 s    | waits                                    |
      | 25.0 | 0.1 | 14.0 s   | is to be retried after 14.25 s           |
      | 25.0 | 0.1 | 20.0 s   | is refused, with a retry time of 20.25 s |
      | 25.0 | 0.1 | none     | waits for an estimate until 0.4 s        |
      | 25.0 | 0.5 | none     | waits                                    |
      | 25.0 | 5.0 | none     | is to be retried after 6.25 s            |
      | 25.0 | 0.9 | 9.5 s    | is to be retried after 9.75 s            |
      | 25.0 | 9.8 | 0.1 s    | is to be retried after 0.35 s            |
      | 16.6 | 0.1 | 1.5 s    | waits                                    |
      | 16.6 | 0.1 | 9.0 s    | waits                                    |
      | 16.6 | 0.1 | 12.0 s   | is to be retried after 12.25 s           |
      | 16.6 | 0.1 | 16.0 s   | is refused, with a retry time of 16.25 s |
      | 16.6 | 0.5 | none     | waits                                    |
      | 16.6 | 6.0 | none     | is to be retried after 6.25 s            |
      | 9.0  | 6.0 | none     | is refused, with a retry time of 6.25 s  |

  Scenario: a caller that returns is treated like one that comes first with the same time left
    Given callers of routes with any time-out, of which some came before, and any estimate of the leader
    When a request of a route with a long time-out and one of a route with a short one have the same time left, in 300 runs
    Then both get the same decision, and the leader hears of both alike

  Scenario: a caller that resumes its stream is not sent away again while the model comes in time
    Given a model server that holds nothing, and a wait of a caller that resumes its stream
    When the leader's estimate is 1.5 s
    Then the caller is not sent away

  Scenario: a caller whose retry would come long before the load is done waits
    Given a request that arrived at 0.0 s with 25.0 s left, whose caller gives up after 16.0 s
    When the leader's estimate at 0.1 s is 14.0 s, and a load usually takes 6 s
    Then the request waits

  Scenario Outline: a caller that would give up before the load is done is told to retry at once
    Given a request that arrived at 0.0 s with 25.0 s left, whose caller gives up after 2.4 s
    When the leader's estimate at <now> s is <estimate>, and a load usually takes 6 s
    Then the request <decision>

    Examples:
      | now  | estimate | decision                      |
      | 0.05 | 0.4 s    | waits                         |
      | 0.05 | 1.6 s    | waits                         |
      | 0.5  | 1.5 s    | waits                         |
      | 0.05 | 6.0 s    | is to be retried after 6.25 s |
      | 0.4  | none     | is to be retried after 6.25 s |
      | 1.0  | 3.0 s    | is to be retried after 3.25 s |

  Scenario: the leader's last estimate is valid until shortly after its ready time
    Given the leader estimated at 10.0 s that m1 is ready in 5.0 s
    Then m1 is expected in 2.0 s at 13.0 s
    And m1 is expected in 0.1 s at 15.5 s
    And there is no estimate for m1 at 17.0 s

  Scenario: an expected retry is reported to the leader until it is due
    Given a demand tracker, and an expected retry for m1 that is due at 20.0 s
    Then the demand report has 0 waiting requests and 1 expected retries at 12.0 s
    And the demand report is empty at 20.5 s

  Scenario Outline: the model whose callers leave first is loaded first, then the one of the higher priority, whatever the objectives
    Given a model server with room for one model, a chat route with an objective of 0.4 s and a draft route with one of 6.0 s
    When a caller of the chat route, priority <chat priority>, that stays for <chat stays> s waits for a model
    And a caller of the draft route, priority <draft priority>, that stays for <draft stays> s waits for another one
    Then the model of the <first> route is loaded first

    Examples:
      | chat stays | chat priority | draft stays | draft priority | first |
      | 15.0       | 1             | 7.0         | 0              | draft |
      | 15.0       | 0             | 7.0         | 1              | draft |
      | 7.0        | 1             | 15.0        | 0              | chat  |
      | 10.0       | 1             | 10.0        | 0              | draft |
      | 10.0       | 0             | 10.0        | 1              | chat  |
      | 2.4        | 1             | 10.0        | 0              | chat  |

  Scenario: requests for a model count as unserved until a server holds it
    Given model servers one and two of 100 GB
    When requests wait for m1 after 3 arrivals, at 10.0 s
    Then m1 has 3 unserved requests
    When servers hold m1 by 10.5 s
    Then m1 has 0 unserved requests

  Scenario: the leader estimates when the models that requests wait for are ready
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When one begins to load c from the weight store at 10.0 s
    And requests wait for c and d at 12.0 s, and no more loads may begin
    Then c is expected in about 2 s, and d in about 6 s

  Scenario: a constantly requested model gets the next load from the weight store, but none beyond the limit
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When requests wait for c, which is requested 2 times per second, and no more loads may begin
    Then the plan is empty
    When a request waits for d at 19.5 s
    And 1 load from the weight store may begin
    Then the plan is to load c

  Scenario Outline: a caller with <stays> s left whose model is ready in 2.5 s waits for it, whatever its route's objective
    Given a route with an objective of <objective> s, whose callers wait up to <stays> s for an event
    When the leader's estimate is 2.5 s
    Then the caller is not sent away

    Examples:
      | objective | stays |
      | 0.4       | 15.0  |
      | 1.5       | 15.0  |
      | 2.6       | 15.0  |
      | 6.0       | 15.0  |
      | 0.4       | 3.2   |
