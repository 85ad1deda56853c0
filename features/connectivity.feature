Feature: Connectivity of a service, derived from connection attempts to its servers

  Scenario: a service is unreachable once connecting to two servers failed, with no success in between
    Given 4 listed servers
    When connecting to server 1 fails
    Then the connectivity state is doubted
    When connecting to server 1 fails
    Then the connectivity state is doubted
    When connecting to server 2 fails
    Then the connectivity state is cut
    When connecting to server 3 succeeds
    Then the connectivity state is reached

  Scenario: the only listed server decides alone
    Given 1 listed servers
    When connecting to server 1 fails
    Then the connectivity state is cut
