Feature: A daemon that cannot reach the store at its start learns everything from peers that contact it

  Scenario: a restarted daemon whose calls the store refuses learns the configuration and the servers
    Given a fleet of 9 daemons with 3 mirrors and a bound of 2.0 s
    When the store permanently refuses the calls of one daemon, which restarts and knows no peers
    Then it has the configuration and a server of the newest list within 4.0 s
