Feature: A daemon is listed in the store for as long as it runs, so that it hears of all changes

  Background:
    Given a model server one that holds m1
    And 2 pool daemons
    And the daemons daemon-1 and daemon-2 are listed

  Scenario: the store removes the row of an earlier process after the daemon has started again
    When the store has faults lose_answers=true, late_seconds=7.0
    And daemon-2 stops
    And the store recovers
    And daemon-2 starts again and is listed
    And the store has carried out all late writes
    Then daemon-2 is listed

  Scenario: the row of a running daemon is removed
    When the row of daemon-2 is removed
    Then daemon-2 is listed
