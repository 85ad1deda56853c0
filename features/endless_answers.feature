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

  Scenario Outline: streams with an event that never ends leave the daemon its memory, route <route>
    Given a model server one that holds m1
    And 1 pool daemons
    When server one has faults endless_line=true
    And 50 requests on <route> for m1 are sent together
    Then the daemon never used more than 64 MB
    And every reply is a truncated success with complete events only
    And the daemon has closed each connection to a server that sent without end, and logged why

    Examples:
      | route |
      | draft |
      | drill |
