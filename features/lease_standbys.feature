Feature: Only a few daemons of a large fleet take the lease first and read the store often

  Scenario Outline: daemons that rarely ask the leader do not try to take a renewed lease
    Given a fleet of <daemons> daemons
    When the leader renews its lease, and each other daemon learns of it only by asking the leader
    Then only standbys may try to take the lease

    Examples:
      | daemons |
      | 30      |
      | 195     |
      | 320     |

  Scenario: another daemon takes the lease if the leader and all standbys are gone
    Given a fleet of 195 daemons
    When neither the leader nor a standby renews the lease any more
    Then each daemon may take it after the time in which it would have learned of a renewal

  Scenario: a daemon that does not know its peers lets others take a vacant lease first
    Given a daemon that has not read the list of daemons
    When the lease is vacant
    Then it waits before it takes the lease

  Scenario Outline: daemons of a large fleet limit reads of the daemon list and retries to an unavailable store
    Given a fleet of <daemons> daemons
    Then the daemons read the list at most <reads> times per second in total while the fleet changes
    And each kind of reader retries at most <retries> times per second while the store is unavailable
    And standbys read the list at least every 0.5 s

    Examples:
      | daemons | reads | retries |
      | 6       | 120   | 10      |
      | 195     | 50    | 120     |
      | 320     | 75    | 190     |
