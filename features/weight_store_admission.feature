Feature: Every load from the weight store passes one admission

  Scenario: loads under way stay within what the weight store serves, whatever is asked for
    Given a pool of 6 model servers, each with room for 2 of 12 models
    When requests, reports, departures and changes of the leader come in any order, in 120 plays
    Then no load from the weight store began beyond the limit
    And no model got a second turn while another one was asked for and had none

  Scenario: a turn goes to the model that most callers ask for
    Given model servers one, two and three of 100 GB
    And one holds a, two holds nothing
    And three holds nothing
    When a request waits for c at 10.0 s
    And 6 requests with an objective of 4.0 s wait for d at 10.0 s
    And 1 load from the weight store may begin
    Then the plan loads d at 1 server, as wanted
    And the plan loads nothing else from the weight store

  Scenario Outline: a model whose servers are full gets a further copy in its turn
    Given model servers one, two and three of 100 GB
    And one holds a, two holds nothing
    And three holds nothing
    When a is asked for 2 times a second at 10.0 s
    And <running> requests for a run at one, which has 8 places
    And 6 requests with an objective of 4.0 s wait for c at 10.0 s
    And 1 load from the weight store may begin
    Then the plan loads <model> at 1 server, as <purpose>
    And the plan loads nothing else from the weight store

    Examples:
      | running | model | purpose      |
      | 40      | a     | further-copy |
      | 9       | c     | wanted       |

  Scenario: a further copy is loaded where another model has made way for it
    Given model servers one and two of 100 GB
    And one holds a and b, two holds c and d
    When a is asked for 2 times a second at 10.0 s
    And 40 requests for a run at one, which has 8 places
    And 1 load from the weight store may begin
    Then the plan is one order: unload c or d
    When the first order of the plan is accepted at 10.0 s
    And two has unloaded for it at 10.4 s
    And no load from the weight store may begin
    Then the plan is one order: load a at two

  Scenario: a model that no server can take does not keep the place from the next one
    Given model servers one and two of 100 GB
    And one holds a, two is loading b
    When 6 requests with an objective of 4.0 s wait for h, which is too large for any server
    And a request waits for c at 10.0 s
    And 1 load from the weight store may begin
    Then the plan loads c at 1 server, as wanted

  Scenario: a model that is asked for often goes first, and within the limit
    Given model servers one, two and three of 100 GB
    And one holds b, two holds nothing
    And three holds nothing
    When a is asked for 2 times a second at 10.0 s
    And a request waits for a at 10.0 s
    And no load from the weight store may begin
    Then the plan loads nothing else from the weight store
    When a request waits for c at 10.0 s
    And 1 load from the weight store may begin
    Then the plan loads a at 1 server, as wanted
    And the plan loads nothing else from the weight store

  Scenario: loads that are overdue lower the limit before any of them ends
    Given a weight store that serves 4 loads at once at full speed, 6 s each
    When a leader with a limit of 16 has 16 loads under way from the start, and none has ended by 13 s
    Then the leader may have 8 or fewer under way

  Scenario: a limit that is not used does not grow
    Given a weight store that serves 4 loads at once at full speed, 6 s each
    When a leader with a limit of 8 has 4 loads under way at a time for 60 s
    Then the leader may have 8 or fewer under way

  Scenario: a new leader counts the loads that it has heard of, before it has read their servers
    Given model servers one and two of 100 GB
    When an earlier leader has told at 9.0 s that one loads c
    Then at 10.0 s one load from the weight store is known to be under way
    And at 30.0 s no load from the weight store is known to be under way
