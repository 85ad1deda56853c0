Feature: Every daemon applies the newest configuration in the store and never an older one

  Background:
    Given a plain server shop

  Scenario: check-config accepts the rendered deploy template
    When the deploy template is rendered for a machine
    Then check-config accepts it

  Scenario: every daemon applies a new version
    Given 3 pool daemons
    When a route new to orders is added
    Then every daemon has the newest configuration
    And every daemon serves a plain request on new

  Scenario: an older version that is written later is ignored
    Given 2 pool daemons
    When a route new to orders is added
    And every daemon gets the newest configuration
    And an older version without that route is written
    And a new plain server is known to every daemon
    Then every daemon serves a plain request on new

  Scenario: a discarded history in the store does not revert the configuration
    Given 2 pool daemons
    When a route new to orders is added
    And every daemon gets the newest configuration
    And the store discards its history
    And a route newer to orders is added
    Then every daemon has the newest configuration

  Scenario: a daemon that cannot reach the store gets the configuration from a peer
    Given 2 pool daemons
    And a daemon that connects to the store through a link
    When its link to the store is cut
    And a route new to orders is added
    Then every daemon has the newest configuration
    And every daemon serves a plain request on new

  Scenario: a daemon without a configuration answers 503, not 404
    Given a daemon while the store is unavailable
    When a plain request on look is sent
    Then the last reply has status 503

  Scenario: warm requests are served while the store is unavailable and afterwards
    Given 2 pool daemons
    When the store has faults mode=silent
    And a plain request on look is sent
    Then the last reply has status 200
    When the store has faults mode=throttle
    And a plain request on look is sent
    Then the last reply has status 200
    When the store recovers
    And a route new to orders is added
    Then every daemon has the newest configuration

  Scenario: a draining server gets no new requests
    Given a plain server shop2
    And 1 pool daemons
    When server shop2 has faults state=draining
    And the daemons know 1 usable servers
    Then ten plain requests all run at shop
