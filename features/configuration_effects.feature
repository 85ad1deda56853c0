Feature: All that a version of the configuration changes counts as soon as it is in force

  Scenario: a connection rests as long as the newest version lets it, though no request has come since
    Given a daemon whose configuration lets connections rest for 2.0 s
    And a caller's connection that begins to rest
    When a version that lets them rest for 10.0 s is in force 1.0 s later
    Then the connection is open 8.0 s later, and closed 2.5 s after that

  Scenario: a daemon learns the configuration version with which a peer served its request
    Given a daemon with configuration version 3
    When a peer serves a relayed request with configuration version 4
    Then the daemon knows that the peer has version 4

  Scenario: a copy that cannot be taken in does not end a daemon's fetching
    Given a daemon with configuration version 3
    When a peer tells version 4, whose copy cannot be taken in, and then another one version 5
    Then it has asked both peers
