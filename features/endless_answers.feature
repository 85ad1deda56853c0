Feature: A daemon bounds what it buffers of a response part that never ends

  Scenario Outline: a response with <part> that never ends fails
    When a server sends <part> without end, in writes of random sizes, in 20 runs
    Then the response has failed before the daemon has buffered more than the head limit and one write

    Examples:
      | part               |
      | a status line      |
      | a header line      |
      | header lines       |
      | a chunk-size line  |
      | a chunk extension  |
      | a trailer          |

  Scenario: a stream with an event that never ends fails
    When a server sends an event without end, in writes of random sizes, in 20 runs
    Then the stream has failed before the daemon has buffered over its share of 64 MB for 50 servers
