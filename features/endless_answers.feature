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
      | early hints        |

  Scenario: a response to another request that never ends is not skipped without end
    When a server sends a response to another request without end, in writes of random sizes, in 20 runs
    Then the connection has failed before the daemon has read more than the body limit and one write

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
    And the daemon has closed each connection to a server that sent without end
    And it has logged once for each of them why

    Examples:
      | route |
      | draft |
      | drill |

  Scenario Outline: responses with a body that never ends leave the daemon its memory, route <route>
    Given a model server one that holds m1
    And a plain server shop
    And 1 pool daemons
    When server shop has faults endless_line=true
    And 50 requests on <route> for no model are sent together
    Then the daemon never used more than 64 MB
    And no reply is a success
    And the daemon has closed each connection to a server that sent without end

    Examples:
      | route |
      | book  |
      | look  |

  Scenario: of bodies that together exceed the limit, only the largest are discarded
    When bodies grow in random order by random amounts, in 50 runs
    Then each run kept the limit and discarded the largest body only, when it was exceeded

  Scenario Outline: a request that a server refuses unstarted is refused as not run, refusal body <body>
    Given a model server one that holds m1
    And a plain server shop
    And 1 pool daemons
    When server shop has faults mode=shed, refusal_body=<body>
    And 5 requests on <route> for no model are sent together
    Then every reply says that the request has not run, and when to come back

    Examples:
      | body    | route |
      | endless | book  |
      | endless | look  |
      | missing | book  |
      | cut     | book  |

  Scenario: reports that never end leave the leader its memory
    Given a model server one that holds m1
    And 1 pool daemons
    When server one has faults endless_report=true
    And server one has sent 3 endless reports
    Then the daemon never used more than 64 MB
