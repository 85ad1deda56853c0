Feature: Voters that end while their set changes, or while others know less of it

  Scenario: the earlier majority ends while a change of voters is not settled
    Given a daemon that votes with daemon-2 and daemon-3
    And it has accepted that a new life of daemon-2 votes in place of the earlier one
    When the earlier life of daemon-2 and daemon-3 have ended
    Then it founds the next generation

  Scenario: a new voter does not say that it votes before the change is settled
    Given a daemon that is to vote with daemon-2 and daemon-3
    When it has accepted that it votes in place of its earlier life
    Then it does not say that it votes
    When it has accepted that the change is settled
    Then it says that it votes

  Scenario: a leader begins its term while the table service does not answer
    Given a daemon that votes alone, and a table service that never answers
    When it seeks the role
    Then it begins its term

  Scenario: the only voter ends, and it knew a newer value than the others
    Given a daemon that knows daemon-3 as the only voter
    And daemon-3 has said that it knows a newer value
    When daemon-3 has ended
    Then it founds the next generation

  Scenario: a leader that a voter refuses ends its term
    Given a daemon that votes alone and leads
    When its voter has promised a higher ballot, and it writes
    Then its term has ended
