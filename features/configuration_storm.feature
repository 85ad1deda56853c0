Feature: Frequent configuration versions cost each daemon few calls to the store

  Scenario Outline: several versions per second are applied together and within the bound
    Given a daemon that must apply a configuration within <bound> s
    When a version is written every 0.3 s for 30 s
    Then it has called the store at most <calls> times
    And each version, or a later one, was applied within the bound

    Examples: bounds of small and large deployments
      | bound | calls |
      | 2.0   | 65    |
      | 4.0   | 35    |
