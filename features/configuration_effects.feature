Feature: All that a version of the configuration changes counts as soon as it is in force

  Scenario: a connection rests as long as the newest version lets it, though no request has come since
    Given a daemon whose configuration lets connections rest for 2.0 s
    And a caller's connection that begins to rest
    When a version that lets them rest for 10.0 s is in force 1.0 s later
    Then the connection is open 8.0 s later, and closed 2.5 s after that

  Scenario: a daemon fetches the version by which a peer has served its request
    Given a daemon that has version 3 in force
    When a peer has served a request of it by version 4
    Then it knows that the peer has version 4

  Scenario: a copy that cannot be taken in does not end a daemon's fetching
    Given a daemon that has version 3 in force
    When a peer tells version 4, whose copy cannot be taken in, and then another one version 5
    Then it has asked both peers
