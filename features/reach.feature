Feature: What connects say of a daemon's way to the servers

  Scenario: a daemon is known to be cut when no server accepts a connection, one after the other
    Given 4 servers that are listed
    When server 1 accepts no connection
    Then the daemon is doubted
    When server 1 accepts no connection
    Then the daemon is doubted
    When server 2 accepts no connection
    Then the daemon is cut
    When server 3 accepts a connection
    Then the daemon is reached

  Scenario: the one server that is listed decides alone
    Given 1 servers that are listed
    When server 1 accepts no connection
    Then the daemon is cut
