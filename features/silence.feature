Feature: Connections that fall silent without a reset are ended

  Scenario: a connection to the store or a server is probed, and ends when nothing answers
    When a connection is opened for requests
    Then its own end knows that it is silent after 1500 ms

  Scenario: a link between daemons is probed from both ends, and ends when nothing answers
    When a daemon calls another one
    Then each end knows that the link is silent after 1500 ms

  Scenario Outline: <probes> probes may go unanswered within <silence> ms
    Then <probes> probes may go unanswered within <silence> ms

    Examples:
      | silence | probes |
      | 500     | 1      |
      | 1500    | 1      |
      | 4000    | 4      |
