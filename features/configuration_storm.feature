Feature: Many versions of the configuration cost each daemon few calls of the store

  Scenario Outline: versions that come several a second are taken up together, and in time
    Given a daemon that must have a configuration in force within <bound> s
    When a version is written each 0.3 s for 30 s
    Then it has called the store at most <calls> times
    And each version, or a later one, was in force within the bound

    Examples: bounds of small and large deployments
      | bound | calls |
      | 2.0   | 65    |
      | 4.0   | 35    |
