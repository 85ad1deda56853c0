Feature: A message in very many parts does not hold up the requests of others

  Scenario Outline: a daemon stands still while it parses <message>
    When a connection receives <message>
    Then no pass of the event loop has parsed more than one turn, and one for each read
    And the message has ended as <end>

    Examples:
      | message                                 | end        |
      | a request body in chunks of 1 bytes     | fragmented |
      | a request body in chunks of 16 bytes    | complete   |
      | a request body in chunks of 65536 bytes | complete   |
      | a response body in chunks of 1 bytes    | fragmented |
      | a response body in chunks of 16 bytes   | complete   |

  Scenario Outline: connections that each have much to parse hold up the others together, <kind>
    When 50 connections receive a <kind> body in chunks of 16 bytes
    Then no pass of the event loop has parsed more than one turn, and one for each read

    Examples:
      | kind     |
      | request  |
      | response |

  Scenario: a client whose body was refused as fragmented is not told why
    Given a daemon
    When a client sends a body in chunks of 1 bytes
    Then it gets 400 and the connection is closed
    And the refusal is logged and counted

  Scenario: a server that sends tiny events without end is read on
    Given a daemon whose server sends events of two bytes without end
    When a stream is asked for
    Then it is broken off because of its many parts

  Scenario: a slow stream of many small events is ended
    When 90 parts of 1 bytes come each second for an hour
    Then they are within the limit

  Scenario: a stream whose many events come at once is ended
    When 100000 parts of 40 bytes come at once
    Then they are within the limit

  Scenario: some sequence of bytes makes a connection parse, or keep, more than its limits
    When bytes of any kind come in any pieces on both kinds of connections, in 60 runs
    Then no pass of the event loop has parsed more than one turn, and one for each read
    And no connection has kept more than its limits
