Feature: A daemon that starts while the store does not serve it learns all from the peers that find it

  Scenario: a daemon that has started again, and that the store refuses, learns configuration and servers
    Given a fleet of 9 daemons, 3 of them mirrors, under a bound of 2.0 s
    When the store refuses one of the daemons for good, and it starts again and knows no peer
    Then it has the configuration and a server of the newest lists within 4.0 s
