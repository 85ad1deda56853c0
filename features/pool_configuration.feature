Feature: A configuration in the store is in force everywhere and never reverts

  Background:
    Given a plain server shop

  Scenario: the deploy template becomes settings that check-config accepts
    When the deploy template is rendered for a machine
    Then check-config accepts it

  Scenario: a new version is in force on every daemon
    Given 3 pool daemons
    When a route new to orders is added
    Then every daemon has the newest configuration
    And every daemon serves a plain request on new

  Scenario: an older version that appears later changes nothing
    Given 2 pool daemons
    When a route new to orders is added
    And every daemon gets the newest configuration
    And an older version without that route is written
    And a new plain server is known to every daemon
    Then every daemon serves a plain request on new

  Scenario: history that is lost and reads that are stale do not take a version back
    Given 2 pool daemons
    When a route new to orders is added
    And every daemon gets the newest configuration
    And the store discards its history
    And a route newer to orders is added
    Then every daemon has the newest configuration

  Scenario: a daemon that the store does not serve learns the configuration from a peer
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

  Scenario: warm requests go on while the store is away, and after
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

  Scenario: a server that says it leaves gets no new work, and one that dies unlisted neither
    Given a plain server shop2
    And 1 pool daemons
    When server shop2 has faults state=draining
    And the daemons know 1 usable servers
    Then ten plain requests all run at shop
