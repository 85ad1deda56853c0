Feature: Voters that fail during a voter change, or while other daemons have older state

  Scenario: a majority of the previous voters ends before a voter change is committed
    Given a daemon that votes with daemon-2 and daemon-3
    And it has accepted a voter change from the earlier process of daemon-2 to its new one
    When the earlier process of daemon-2 and daemon-3 have ended
    Then it creates the next generation

  Scenario: a new voter does not report that it votes before the change is committed
    Given a daemon whose earlier process votes with daemon-2 and daemon-3
    When it has accepted a voter change from its earlier process to itself
    Then its metric does not report it as a voter
    When it has accepted the value that follows the committed change
    Then its metric reports it as a voter

  Scenario: a leader begins its term while the table service does not answer
    Given a daemon that votes alone, and a table service that never answers
    When it campaigns
    Then it begins its term

  Scenario: the only voter ends after it reported a newer value than the others have
    Given a daemon that knows daemon-3 as the only voter
    And daemon-3 has reported a newer value
    When daemon-3 has ended
    Then it creates the next generation

  Scenario: a leader ends its term when a voter refuses its write
    Given a daemon that votes alone and leads
    When its voter has promised a higher ballot, and it writes
    Then its term has ended
