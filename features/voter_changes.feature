Feature: A change of the voters that nobody can settle any more

  Scenario: the earlier majority ends while a change of voters is not settled
    Given a daemon that votes with daemon-2 and daemon-3
    And it has accepted that a new life of daemon-2 votes in place of the earlier one
    When the earlier life of daemon-2 and daemon-3 have ended
    Then it founds the next generation
