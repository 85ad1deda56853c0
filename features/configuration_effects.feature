Feature: A new configuration version takes full effect as soon as it is active

  Scenario: the newest idle timeout also applies to connections that are idle already
    Given a daemon whose configuration has an idle timeout of 2.0 s
    And a caller's connection that becomes idle
    When a version with an idle timeout of 10.0 s is activated 1.0 s later
    Then the connection is open 8.0 s later, and closed 2.5 s after that

  Scenario: a daemon fetches the version by which a peer has served its request
    Given a daemon with configuration version 3
    When a peer serves a relayed request with configuration version 4
    Then the daemon knows that the peer has version 4

  Scenario: an invalid copy does not stop a daemon from fetching further versions
    Given a daemon with configuration version 3
    When a peer announces version 4 with an invalid copy, and then another peer version 5
    Then it has queried both peers
