Feature: A request waits for its model only where it can be served, and is told at once when to return

  Scenario Outline: what is done with a request of 25 s whose model is away, and whose caller waits 10 s
    Given a request that came at 0.0 s, <tries>, whose caller leaves after 10.0 s
    When the leader says <word> at <now> s, and a load usually takes 6 s
    Then the request <decision>

    Examples:
      | tries            | now | word                 | decision                     |
      | the first time   | 0.1 | that it takes 1.5 s  | waits                        |
      | the first time   | 0.1 | that it takes 4.0 s  | comes back after 4.25 s      |
      | the first time   | 0.9 | that it takes 4.0 s  | waits                        |
      | the first time   | 0.1 | that it takes 9.0 s  | comes back after 9.25 s      |
      | the first time   | 0.1 | that it takes 14.0 s | comes back after 14.25 s     |
      | the first time   | 0.1 | that it takes 20.0 s | is refused, with 20.25 s     |
      | the first time   | 0.1 | nothing              | waits for a word until 0.4 s |
      | the first time   | 0.5 | nothing              | waits                        |
      | the first time   | 5.0 | nothing              | comes back after 6.25 s      |
      | the first time   | 0.9 | that it takes 9.5 s  | comes back after 9.75 s      |
      | the first time   | 9.8 | that it takes 0.1 s  | comes back after 0.35 s      |
      | after a refusal  | 0.1 | that it takes 1.5 s  | waits                        |
      | after a refusal  | 0.1 | that it takes 9.0 s  | waits                        |
      | after a refusal  | 0.1 | that it takes 12.0 s | is refused, with 12.25 s     |
      | after a refusal  | 0.5 | nothing              | waits                        |
      | after a refusal  | 6.0 | nothing              | is refused, with 6.25 s      |

  Scenario: a caller who would return long before the load is done waits for it
    Given a request that came at 0.0 s, the first time, whose caller leaves after 16.0 s
    When the leader says that it takes 14.0 s at 0.1 s, and a load usually takes 6 s
    Then the request waits

  Scenario Outline: a caller who would leave before the load is done is told to come back at once
    Given a request that came at 0.0 s, the first time, whose caller leaves after 2.4 s
    When the leader says <word> at <now> s, and a load usually takes 6 s
    Then the request <decision>

    Examples:
      | now  | word                | decision                |
      | 0.05 | that it takes 0.4 s | waits                   |
      | 0.05 | that it takes 1.6 s | comes back after 1.85 s |
      | 0.5  | that it takes 1.5 s | waits                   |
      | 0.05 | that it takes 6.0 s | comes back after 6.25 s |
      | 0.4  | nothing             | comes back after 6.25 s |
      | 1.0  | that it takes 3.0 s | comes back after 3.25 s |

  Scenario: the leader's last word counts until the time that it named is over
    Given the leader said at 10.0 s that m1 should be there in 5.0 s
    Then m1 is expected in 2.0 s at 13.0 s
    And m1 is expected in 0.1 s at 15.5 s
    And nothing is known of m1 at 17.0 s

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

  Scenario: a model that is asked for all the time gets the next place, and none beyond the limit
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When requests wait for c, which is asked for 2 times a second, and no more may be under way
    Then the plan is empty
    When a request waits for d at 19.5 s
    And 1 load from the weight store may begin
    Then the plan is to load c
