Feature: Detecting whether an event stream is complete or truncated

  Scenario Outline: a stream that ends with <name>
    When a stream ends with the bytes <tail>
    Then <count> complete events were passed on, the last one with id <last>
    And the stream <result>

    Examples:
      | name                        | tail                               | count | last | result       |
      | a complete event            | id: 1\ndata: a\n\n                 | 1     | 1    | is complete  |
      | a partial event             | id: 1\ndata: a\n\nid: 2\nda        | 1     | 1    | is truncated |
      | an event without blank line | id: 1\ndata: a\n\nid: 2\ndata: b\n | 1     | 1    | is truncated |
      | only a partial event        | id: 1                              | 0     | none | is truncated |
      | an extra blank line         | id: 1\ndata: a\n\n\n               | 1     | 1    | is complete  |
      | a comment                   | id: 1\ndata: a\n\n: bye\n          | 1     | 1    | is complete  |
      | lines that end in CR LF     | id: 1\r\ndata: a\r\n\r\n           | 1     | 1    | is complete  |
      | lines that end in CR        | id: 1\rdata: a\r\rid: 2\r\r        | 2     | 2    | is complete  |

  Scenario: an event that fills the buffer is passed on, in writes of any size
    When an event of the size limit comes in writes of random sizes, in 20 runs
    Then it was passed on whole each time, and no byte was searched more than 4 times

  Scenario: events that end in the same write as an event that is too large begins are passed on
    When a write ends an event and begins one of the size limit and 1 byte more
    Then the ended event was passed on, and the next write fails the stream
