Feature: Where and when models are loaded, decided from views with the time as an argument

  Scenario: what a model has made way for is loaded there, and nowhere else
    Given model servers one and two of 100 GB
    And one holds a and b, two holds a and d
    When a request waits for c at 10.0 s
    Then the plan is one order: unload a or b or d
    When that order is accepted and done at 10.2 s
    Then the plan is one order: load c at the same server

  Scenario: a load is taken as done when its time is over, and taken back by a later report
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When one begins to load c from the weight store at 10.0 s
    Then one does not hold c at 14.0 s, and holds it at 14.1 s
    When a report of one at 14.2 s still shows the load
    Then one holds c
    When a report of one at 14.8 s still shows the load
    Then one does not hold c

  Scenario: an order that a server takes shows that the load before it is done
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When one begins to load c from the weight store at 10.0 s
    Then one does not hold c at 14.0 s, and holds it at 14.1 s
    When one is sent an order to unload a, and an older report comes at 14.6 s that still shows the load
    And one takes that order at 14.7 s
    Then one holds c
    And one has room for 1 model

  Scenario: a load takes longer beside many runs
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When one begins to load c from the weight store at 10.0 s
    Then with 20 runs one does not hold c at 14.3 s, and holds it at 14.4 s

  Scenario: an order follows an unload that nobody uses after a moment, and any other by a report
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When one is ordered to unload a at 10.0 s, and nobody uses it
    Then one takes no order at 10.05 s, and one at 10.1 s
    When two is ordered to unload b at 10.0 s, and somebody uses it
    Then two takes no order at 12.0 s

  Scenario: an adapter is taken as loaded a moment after its order, and taken back by a later report
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When one is ordered to load the adapter a/x at 10.0 s
    Then one does not have a/x at 10.05 s, and has it at 10.15 s
    When a report of one at 10.3 s still lists a/x as pending
    Then one has a/x
    When a report of one at 10.6 s still lists a/x as pending
    Then one does not have a/x

  Scenario: nothing else makes way for a model while one does
    Given model servers one and two of 100 GB
    And one holds a and b, two holds a and d
    When a request waits for c at 10.0 s
    And the first order of the plan is accepted at 10.05 s
    Then the plan is empty

  Scenario: a server that is busy for a moment and has a copy is waited for
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    And one has a copy of c on its disk and loads d until 11.0 s
    When a request waits for c at 10.0 s
    Then the plan is empty

  Scenario: a server that is busy for long is not waited for
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    And one has a copy of c on its disk and loads d until 16.0 s
    When a request waits for c at 10.0 s
    Then the plan is one order: load c at two

  Scenario: the work of a plan grows with servers and waiting requests, not with their product
    Given 40 model servers and 400 models, three at each server
    When requests wait for 100 models that no server has, and no load may begin
    Then the plan is empty
    And what a server holds was looked up at most 5 times for each server

  Scenario Outline: the loads at once that help are learned from how long loads take
    Given a weight store that serves <served> loads at once at full speed, 6 s each
    When a leader keeps as many under way as it may on <servers> servers, for 60 s
    Then it has <least> to <most> under way in the last 20 s
    And as many were done as the weight store can do, but for one in 3

    Examples:
      | served | servers | least | most |
      | 2      | 20      | 2     | 3    |
      | 4      | 45      | 4     | 5    |
      | 30     | 140     | 24    | 33   |
      | 30     | 9       | 9     | 9    |

  Scenario: a further copy is ordered at one server only
    Given model servers one, two and three of 100 GB
    And one holds a, two holds nothing
    And three holds nothing
    When a is asked for 2 times a second at 10.0 s
    Then the plan loads a at 1 server, as further-copy

  Scenario: further copies leave the weight store to models that no server holds
    Given model servers one, two and three of 100 GB
    And one holds a, two holds nothing
    And three holds nothing
    When a is asked for 2 times a second at 10.0 s
    And a request waits for c at 10.0 s
    And 1 load from the weight store may begin
    Then the plan loads c at 1 server, as wanted
    And the plan loads nothing else from the weight store

  Scenario: a model that was asked for in vain goes before further copies, also when nobody waits
    Given model servers one, two and three of 100 GB
    And one holds a, two holds nothing
    And three holds nothing
    When a is asked for 2 times a second at 10.0 s
    And c was asked for 4 times in vain at 10.0 s
    And no load from the weight store may begin
    Then the plan loads nothing else from the weight store

  Scenario: a plan that looks for a model that no server holds does not count it as held
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When c was asked for 4 times in vain at 10.0 s
    And a request waits for c at 10.0 s
    And no load from the weight store may begin
    Then after a step of the leader c has been asked for 5 times in vain

  Scenario: a further copy comes from the weight store when nothing else needs it
    Given model servers one, two and three of 100 GB
    And one holds a, two holds nothing
    And three holds nothing
    When a is asked for 2 times a second at 10.0 s
    And 1 load from the weight store may begin
    Then the plan loads a at 1 server, as further-copy

  Scenario: no more loads from the weight store are planned than may be under way
    Given 40 model servers and 400 models, three at each server
    When requests wait for 100 models that no server has, and 3 loads may begin
    Then the plan brings 3 models

  Scenario: a load that takes longer than its profile says goes on until a report shows its end
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When one begins to load c from the weight store at 10.0 s
    Then one does not hold c at 14.0 s, and holds it at 14.1 s
    When reports of one show the load each 0.3 s until 22.0 s, its end at 22.2 s
    Then one did not hold c from 14.6 s to 22.0 s, and was loading it
    And the load was seen to take 3.0 times as long

  Scenario: one load that is slow for its server's requests does not slow the others down
    Given a weight store that serves 8 loads at once at full speed, 6 s each
    When every third load takes twice as long for another reason
    Then the leader may have 8 or more under way
