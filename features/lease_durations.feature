Feature: No daemon takes a lease that its holder still counts as valid, whatever their settings are

  Scenario: a daemon whose lease was set shorter takes it from a leader that counts with a longer one
    Given a daemon with leases of 1.0 s
    When it sees the row of a holder with leases of 3.0 s
    Then it does not take the lease 2.9 s later
    And it takes the lease 3.1 s later

  Scenario: a daemon whose lease was set longer takes it before its own duration is over
    Given a daemon with leases of 3.0 s
    When it sees the row of a holder with leases of 1.0 s
    Then it does not take the lease 2.9 s later
    And it takes the lease 3.1 s later

  Scenario: the row of a holder of an earlier version does not say how long its lease lasts
    Given a daemon with leases of 1.0 s
    When it sees the row of a holder that does not say its duration
    Then it takes the lease 1.1 s later

  Scenario: a leader whose lease is set longer leads on for longer than its row says
    Given a daemon with leases of 1.0 s
    When it acquires the lease, its leases are set to 3.0 s, and it renews the lease
    Then its row says 1.0 s
    And it does not lead 1.1 s later

  Scenario: a leader leads for longer than says the row of a write whose response was lost
    Given a daemon with leases of 1.0 s
    When its write has no response, its leases are set to 3.0 s, and the row shows that write
    Then it does not lead 1.1 s later

  Scenario Outline: the lease of a living leader is taken by another process of its name, <address>
    Given a daemon with leases of 1.0 s
    When it sees the row of a process of its own name at <address>
    Then it <takes> the lease at once

    Examples:
      | address       | takes         |
      | its address   | takes         |
      | another one   | does not take |

  Scenario Outline: servers get orders of two daemons by turns within a lease, since <event>
    Given a daemon with leases of 1.0 s that leaves the lease to others for 2.0 s
    When <event>
    Then it does not take the lease 1.9 s later
    And it takes the lease 2.9 s later

    Examples:
      | event                                                                            |
      | it has led, another daemon takes the lease, and that one releases it             |
      | it has led and stepped down, another daemon takes the lease, and releases it     |
      | it starts while another daemon holds the lease, and that one releases it         |

  Scenario Outline: nobody leads although no other daemon has, since <event>
    Given a daemon with leases of 1.0 s that leaves the lease to others for 2.0 s
    When <event>
    Then it takes the lease at once

    Examples:
      | event                                                                            |
      | it has led and stepped down                                                      |
      | it starts and there is no row                                                    |
      | it starts and its earlier process holds the lease                                |
