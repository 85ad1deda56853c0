Feature: Demand of a large fleet whose daemons report at long intervals

  Scenario Outline: the leader counts a waiting request until its daemon's next report is overdue
    Given daemons that report every <interval> s
    When one reports at 10.0 s that a request waits for m1
    Then the leader counts it at <until> s
    And the leader no longer counts it at <after> s

    Examples:
      | interval | until | after |
      | 0.25     | 11.9  | 12.1  |
      | 1.95     | 13.6  | 13.8  |
      | 3.2      | 14.9  | 15.0  |

  Scenario: a daemon gets a notice at once when a model's expected ready time has moved
    Given a daemon got a notice at 10.0 s that m1 is ready in 4.0 s
    Then it gets no notice at 10.1 s if m1 is ready in 3.9 s
    And it gets a notice at 10.3 s if m1 is ready in 9.0 s

  Scenario: a daemon gets a new notice before its last one expires
    Given a daemon got a notice at 10.0 s that m1 is ready in 4.0 s
    Then it gets a notice at 11.0 s if m1 is ready in 3.0 s
