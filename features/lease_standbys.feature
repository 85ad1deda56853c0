Feature: A large fleet leaves the lease, and the store, to a few daemons

  Scenario Outline: daemons that ask the leader rarely do not try to take a lease that is renewed
    Given a fleet of <daemons> daemons
    When the leader renews its lease, and each other daemon hears of it as rarely as it asks
    Then only standbys may try to take the lease

    Examples:
      | daemons |
      | 30      |
      | 195     |
      | 320     |

  Scenario: another daemon takes the lease when the leader and all standbys are gone
    Given a fleet of 195 daemons
    When neither the leader nor a standby renews the lease any more
    Then each other daemon may take it once it would have heard of a renewal

  Scenario: a daemon that does not know the others leaves a vacant lease to those that do
    Given a daemon that has read no list of daemons
    When the lease is vacant
    Then it waits a moment before it takes it

  Scenario Outline: daemons of a large fleet look at the list of daemons, and at a store that is away, rarely
    Given a fleet of <daemons> daemons
    Then the store is asked for the list at most <looks> times a second while daemons come and go
    And the store is asked at most <retries> times a second by each kind of reader while it is away
    And standbys look at the list every 0.5 s at the latest

    Examples:
      | daemons | looks | retries |
      | 6       | 120   | 10      |
      | 195     | 50    | 120     |
      | 320     | 75    | 190     |
