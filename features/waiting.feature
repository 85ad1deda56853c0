Feature: A request waits for its model only where it can be served, and is told early when to return

  Scenario Outline: what is done with a request of 25 s and an objective of 2.5 s whose model is away
    Given a request that came at 0.0 s, <tries>, whose caller leaves after 10.0 s
    When the leader says <word> at <now> s, and a load usually takes 6 s
    Then the request <verdict>

    Examples:
      | tries            | now | word                 | verdict                          |
      | the first time   | 0.1 | that it takes 1.5 s  | waits                            |
      | the first time   | 0.1 | that it takes 4.0 s  | comes back after 4.25 s          |
      | the first time   | 0.1 | that it takes 9.0 s  | comes back after 9.25 s          |
      | the first time   | 0.1 | that it takes 14.0 s | is refused, with 14.25 s         |
      | the first time   | 0.1 | nothing              | waits for a word until 0.5 s     |
      | the first time   | 0.5 | nothing              | comes back after 6.25 s          |
      | the first time   | 0.9 | that it takes 4.0 s  | waits                            |
      | the first time   | 0.9 | that it takes 9.5 s  | is refused, with 9.5 s           |
      | the first time   | 9.8 | that it takes 0.1 s  | is refused, with 0.1 s           |
      | the first time   | 9.8 | nothing              | is refused, with 6.0 s           |
      | after a refusal  | 0.1 | that it takes 1.5 s  | waits                            |
      | after a refusal  | 0.1 | that it takes 6.0 s  | waits                            |
      | after a refusal  | 0.1 | that it takes 12.0 s | is refused, with 12.0 s          |
      | after a refusal  | 0.5 | nothing              | waits                            |

  Scenario: a request that is told to return counts for the leader until it has
    Given a board of demand, and a request for m1 that returns by 20.0 s
    Then the leader hears of 0 waiting and 1 returning at 12.0 s
    And the leader hears of nothing at 20.5 s

  Scenario: what was promised is loaded first, and what was asked for in vain before what was not
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When m1 was asked for 3 times and is waited for, m2 once, and m3 is promised, at 10.0 s
    Then the wants are m3, m1, m2
    When servers hold m1 by 10.5 s
    Then m1 was asked for in vain 0 times

  Scenario: the leader says when what is waited for should be ready
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When one begins to load c from the weight store at 10.0 s
    And requests wait for c and d at 12.0 s, and no more may be under way
    Then c is expected in about 2 s, and d in about 6 s

  Scenario: a model that is asked for all the time need not wait until another load is done
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When requests wait for c, which is asked for 2 times a second, and no more may be under way
    Then the plan is to load c
