Feature: What a server sends without an end is bounded in what a daemon keeps of it

  Scenario Outline: an answer whose <part> has no end is given up
    When a server sends <part> without an end, in pieces of drawn sizes, in 20 plays
    Then the answer has failed before a daemon has kept more than a head's bytes and one piece

    Examples:
      | part               |
      | a status line      |
      | a header line      |
      | header lines       |
      | a chunk-size line  |
      | a chunk extension  |
      | a trailer          |

  Scenario: an event of a stream that has no end is given up
    When a server sends an event without an end, in pieces of drawn sizes, in 20 plays
    Then the stream has failed before a daemon has kept more than its share of 64 MB for 50 servers
