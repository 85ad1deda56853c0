Feature: A new leader uses the orders and the store limit of the previous leader

  Scenario: a load that the previous leader ordered is not ordered again, and its end is estimated
    Given model servers one and two of 100 GB
    And one and two hold nothing, and the leader announced at 10.0 s that one loads c
    When a new leader reads at 12.0 s that one is busy and two is idle
    And a request waits for c at 12.1 s
    Then the new leader's plan is empty
    And c is expected at 14.0 s

  Scenario: an announced load that should have ended long ago is not taken for the load in progress
    Given model servers one and two of 100 GB
    And one and two hold nothing, and the leader announced at 10.0 s that one loads c
    When a new leader reads at 30.0 s that one is busy and two is idle
    And a request waits for c at 30.1 s
    Then the new leader's plan is to load c at two

  Scenario: the limit on weight store loads survives a change of leader
    Given a leader that has learned a limit of 2 concurrent weight store loads
    When a new leader takes the limit over
    Then its limit is 2 and does not grow after 2 fast loads

  Scenario Outline: a leader whose lease ends for a moment forgets what it knows, <event>
    Given a leader that knows the demand of a daemon and a load that it has ordered
    When its lease ends, and <event>
    Then the leader has kept them, and reads the server again
    And the leader has been elected 1 times

    Examples:
      | event                                                          |
      | it is renewed                                                  |
      | it is renewed by a write whose response was lost               |
      | it is renewed before the next step                             |

  Scenario Outline: a leader uses what it knew before another daemon led, <event>
    Given a leader that knows the demand of a daemon and a load that it has ordered
    When its lease ends, and <event>
    Then the leader has discarded them
    And the leader has been elected 2 times

    Examples:
      | event                                                          |
      | another daemon takes it and releases it                        |
      | another daemon takes it and releases it before the next step   |

  Scenario: callers are told by a new leader that they cannot be served before it has read the servers
    Given model servers one, two, three, four, five and six of 100 GB
    And one holds nothing
    And one has a copy of a on its disk and loads g until 26.0 s
    When callers of b, c, d, e, f and h wait at 22.0 s and stay for 16.0 s
    Then no caller is told a time of more than 16.0 s
