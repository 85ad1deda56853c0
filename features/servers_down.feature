Feature: All model servers are down

  Background:
    Given a model server one that holds m1+m2
    And a model server two that holds m1+m3
    And a plain server shop

  Scenario: the leader keeps the lease while no daemon can reach a model server
    Given 1 pool daemons
    And the daemon daemon-1 leads
    And 2 further pool daemons
    When all model servers are killed
    And callers keep every daemon busy for 4.0 s
    Then daemon-1 still leads with the same fencing token
