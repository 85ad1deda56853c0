Feature: A server counts as silent while its caller stays long enough for another one

  Scenario Outline: a <kind> request gets another server once half of its caller's time is over, whatever the objective
    Given a <kind> route with an objective of <objective> s, whose callers wait up to <event> s for an event
    When a caller has <left> s left
    Then the first server may take <silence> s to begin

    Examples:
      | kind       | objective | event | left | silence |
      | streaming  | 0.4       | 10.0  | 25.0 | 5.0     |
      | streaming  | 2.5       | 10.0  | 25.0 | 5.0     |
      | streaming  | 6.0       | 10.0  | 4.0  | 2.0     |
      | streaming  | 0.4       | 2.0   | 15.0 | 1.3     |
      | idempotent | 0.15      | inf   | 0.8  | 0.4     |
      | idempotent | 0.4       | inf   | 0.8  | 0.4     |
      | idempotent | 0.4       | inf   | 0.3  | 0.15    |
