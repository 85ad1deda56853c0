Feature: A new leader knows what the one before has ordered and learned

  Scenario: a load that the leader before has ordered is not ordered again, and its end is known
    Given model servers one and two of 100 GB
    And one and two hold nothing, and daemons were told at 10.0 s that one loads c
    When a new leader reads at 12.0 s that one is busy and two is idle
    And a request waits for c at 12.1 s
    Then the plan of the new leader orders nothing
    And c is expected at 14.0 s

  Scenario: a load that should have ended long ago is not taken for the one that goes on
    Given model servers one and two of 100 GB
    And one and two hold nothing, and daemons were told at 10.0 s that one loads c
    When a new leader reads at 30.0 s that one is busy and two is idle
    And a request waits for c at 30.1 s
    Then the plan of the new leader loads c at two

  Scenario: the pace of the weight store is kept over a change of leader
    Given a leader that has learned that the weight store serves 2 loads at once
    When another daemon leads
    Then it has 2 loads under way at once, and does not grow for a while
