Feature: The weight store is used at its capacity, which the leader learns from loads

  Scenario Outline: the weight store is used below its capacity, <store>
    Given a weight store that serves <store>
    When a leader runs as many loads as its limit allows for 60 s
    Then the store has done at least 0.9 of what it could

    Examples:
      | store                                    |
      | 2 loads                                  |
      | 3 loads                                  |
      | 4 loads                                  |
      | 6 loads                                  |
      | 8 loads                                  |
      | 8 loads, 3 after 30 s                    |
      | 8 loads, 4 after 30 s                    |
      | 4 loads, of which 0.2 are lost           |
      | 4 loads, with a new leader each 10 s     |
      | 12 loads                                 |
      | 30 loads                                 |
      | 3 loads, 8 after 30 s                    |
      | 4 loads, 8 after 30 s                    |
      | 4 loads, of which 0.3 are slow           |
      | 8 loads, of which 0.3 are slow           |
      | 4 loads, each with a fixed share         |
      | 8 loads, each with a fixed share         |

  Scenario Outline: one congestion lowers the limit again and again, from <limit> where <capacity> is true
    Given a weight store that serves <capacity> loads
    And an earlier leader has learned a limit of <limit>
    When a leader runs as many loads as its limit allows for 60 s
    Then the limit has never been below <capacity>
    And it has been at most <most> in the last 20 s

    Examples:
      | limit | capacity | most |
      | 10    | 4        | 5    |
      | 13    | 4        | 5    |
      | 16    | 3        | 4    |
      | 20    | 8        | 9    |

  Scenario Outline: loads that began before the limit fell lower it below <capacity>, each with a fixed share
    Given a weight store that serves <capacity> loads, each with a fixed share
    And an earlier leader has learned a limit of <limit>
    When a leader runs as many loads as its limit allows for 60 s
    Then the limit has never been below <capacity>
    And it has been at most <most> in the last 20 s

    Examples:
      | limit | capacity | most |
      | 10    | 4        | 5    |
      | 13    | 4        | 5    |
      | 20    | 8        | 9    |

  Scenario: loads that began beside few others raise the limit
    Given a leader with a limit of 6 that has begun 3 loads
    When 4 more loads begin 0.5 s later, and the first 3 end at full speed
    Then the limit is still 6

  Scenario: a new leader lowers the limit by loads of which it did not know
    Given a leader that takes over a limit of 4 at 8.0 s, and knows 1 load then and 4 from 8.2 s on
    When the 4 loads, which began at 1.0 s, are overdue until 13.0 s
    Then the limit is still 4

  Scenario: any load that shared the store measures its capacity
    Given any course of the number of loads in progress, in 200 runs
    Then each load that was slowed down measures the capacity within 0.05
    And a load in progress gives an upper bound
    And no load measures less, also where each keeps the share that it gets at its start
