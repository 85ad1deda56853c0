Feature: A load that callers were told to return for keeps its place until they had time to return

  Scenario: a patient caller is passed over by callers that come later
    Given a weight store with a place that is free in 2 s, and loads of 6 s
    When 1 callers of a come and stay for 16 s
    Then a is promised
    When 2 s later 5 callers of b come and stay for 13 s
    And 0 s later 5 callers of c come and stay for 14 s
    Then the load of a starts before its caller leaves
    And callers of b or c hear at once that their load comes too late

  Scenario: a load that can wait lets callers pass that cannot
    Given a weight store with a place that is free in 0 s, and loads of 6 s
    When 1 callers of a come and stay for 16 s
    And 0 s later 1 callers of b come and stay for 7 s
    Then the loads of a and b start before their callers leave, b first

  Scenario: an impatient caller of a promised model takes the place of other promised loads
    Given a weight store with a place that is free in 1 s, and loads of 6 s
    When 1 callers of a come and stay for 20 s
    And 0 s later 1 callers of b come and stay for 8 s
    And 1 s later 9 callers of a come and stay for 11 s
    Then the loads of a and b start before their callers leave, b first

  Scenario: a promise is given up while its load cannot start in time for a moment
    Given a weight store with a place that is free in 2 s, and loads of 6 s
    When 1 callers of a come and stay for 10 s
    Then a is promised
    When the place is said to be free in 5 s
    And the place is said to be free in 1 s, and 5 callers of b come and stay for 8 s
    Then the load of a starts before its caller leaves

  Scenario: loads that start in time change places while a promised one is hardly late
    Given a weight store with a place that is free in 2 s, and loads of 6 s
    When 1 callers of a come and stay for 9 s
    And 0 s later 1 callers of c come and stay for 15 s
    And the place is said to be free in 3.2 s
    Then the schedule is a, c

  Scenario: callers of a model that can wait are refused together with those that cannot
    Given a weight store with a place that is free in 3 s, and loads of 6 s
    When callers of a stay for 5 to 12 s
    Then a is promised

  Scenario: a further copy of a busy model passes over loads that callers were promised
    Given a weight store with a place that is free in 0 s, and loads of 6 s
    When 1 callers of a come and stay for 7 s
    And the servers of d have 30 requests too many
    Then the schedule is a, d

  Scenario: promised loads start in time whatever other callers come
    Given a weight store with 1 to 4 places, and loads of 4 to 7 s
    When callers of up to 30 models come at any time and stay for any time, in 200 runs
    Then each load that was promised once has started in time

  Scenario: a schedule for many models takes no longer than their number
    Given a weight store with 4 places, and 1 caller of each of 500 and of 4000 models
    Then scheduling 4000 of them checks at most 10 times as many starts as 500

  Scenario: without any server no load is said to start in time
    Given a weight store without a place
    When 1 callers of a come and stay for 16 s
    Then a is not promised
