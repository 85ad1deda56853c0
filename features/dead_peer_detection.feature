Feature: A connection whose peer vanished without a reset is detected and closed

  Scenario: a connection to the store or a server detects a dead peer
    When a connection is opened for requests
    Then its own end sends keepalive probes and times out after 1500 ms

  Scenario: both ends of a connection between daemons detect a dead peer
    When a daemon calls another one
    Then both ends of the connection send keepalive probes and time out after 1500 ms

  Scenario Outline: a timeout of <timeout> ms allows <probes> unanswered probes
    Then a timeout of <timeout> ms allows <probes> unanswered probes

    Examples:
      | timeout | probes |
      | 500     | 1      |
      | 1500    | 1      |
      | 4000    | 4      |
