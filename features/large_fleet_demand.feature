Feature: Demand of a large fleet, whose daemons report rarely

  Scenario Outline: a request that waits stays in the leader's sight until its daemon reports again
    Given daemons that report every <interval> s
    When one reports at 10.0 s that a request waits for m1
    Then the leader knows of it at <until> s
    And the leader does not know of it any more at <after> s

    Examples:
      | interval | until | after |
      | 0.25     | 11.9  | 12.1  |
      | 1.95     | 13.6  | 13.8  |
      | 3.2      | 14.9  | 15.0  |

  Scenario: a daemon is told at once when a model it waits for comes later than it was told
    Given a daemon was told at 10.0 s that m1 should be there in 4.0 s
    Then at 10.1 s it is not told again while m1 should be there in 3.9 s
    And at 10.3 s it is told that m1 should be there in 9.0 s

  Scenario: a daemon is told again before it takes the leader's word for outdated
    Given a daemon was told at 10.0 s that m1 should be there in 4.0 s
    Then at 11.0 s it is told that m1 should be there in 3.0 s
