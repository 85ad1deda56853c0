Feature: Admission control for all loads from the weight store

  Scenario: concurrent loads stay within the limit under any sequence of events
    Given a pool of 6 model servers, each with room for 2 of 12 models
    When requests, reports, departures and leader changes happen in any order, in 120 runs
    Then no load from the weight store started beyond the limit
    And no model was admitted again while another requested model had not been admitted

  Scenario: a load slot goes to the model with the most callers
    Given model servers one, two and three of 100 GB
    And one holds a, two holds nothing
    And three holds nothing
    When a request waits for c at 10.0 s
    And 6 requests whose callers stay for 8.0 s wait for d at 10.0 s
    And 1 load from the weight store may begin
    Then the plan loads d at 1 server, as wanted
    And the plan loads nothing else from the weight store

  Scenario Outline: a model whose servers are full gets a further copy by its number of excess requests
    Given model servers one, two and three of 100 GB
    And one holds a, two holds nothing
    And three holds nothing
    When a is requested 2 times per second at 10.0 s
    And <running> requests for a run at one, which has 8 slots
    And 6 requests whose callers stay for 8.0 s wait for c at 10.0 s
    And 1 load from the weight store may begin
    Then the plan loads <model> at 1 server, as <purpose>
    And the plan loads nothing else from the weight store

    Examples:
      | running | model | purpose      |
      | 40      | a     | further-copy |
      | 9       | c     | wanted       |

  Scenario: a further copy is loaded where another model was evicted for it
    Given model servers one and two of 100 GB
    And one holds a and b, two holds c and d
    When a is requested 2 times per second at 10.0 s
    And 40 requests for a run at one, which has 8 slots
    And 1 load from the weight store may begin
    Then the plan is one order: unload c or d
    When the first order of the plan is accepted at 10.0 s
    And two has finished that unload at 10.4 s
    And no load from the weight store may begin
    Then the plan is one order: load a at two

  Scenario: a model that fits on no server does not block the next one
    Given model servers one and two of 100 GB
    And one holds a, two is loading b
    When 6 requests whose callers stay for 8.0 s wait for h, which is too large for any server
    And a request waits for c at 10.0 s
    And 1 load from the weight store may begin
    Then the plan loads c at 1 server, as wanted

  Scenario: a frequently requested model is loaded first, within the limit
    Given model servers one, two and three of 100 GB
    And one holds b, two holds nothing
    And three holds nothing
    When a is requested 2 times per second at 10.0 s
    And a request waits for a at 10.0 s
    And no load from the weight store may begin
    Then the plan loads nothing else from the weight store
    When a request waits for c at 10.0 s
    And 1 load from the weight store may begin
    Then the plan loads a at 1 server, as wanted
    And the plan loads nothing else from the weight store

  Scenario: overdue loads lower the limit before any of them ends
    Given a weight store that serves 4 concurrent loads at full speed, 6 s each
    When a leader with a limit of 16 has 16 loads in progress from the start, and none has ended by 13 s
    Then the limit is 8 or less

  Scenario: an unused limit does not grow
    Given a weight store that serves 4 concurrent loads at full speed, 6 s each
    When a leader with a limit of 8 runs 4 loads at a time for 60 s
    Then the limit is 8 or less

  Scenario: a new leader counts announced loads before it has read the servers
    Given model servers one and two of 100 GB
    When an earlier leader announced at 9.0 s that one loads c
    Then at 10.0 s one load from the weight store is known to be in progress
    And at 30.0 s no load from the weight store is known to be in progress
