Feature: A request that was read whole ends with a whole response, or visibly inside one

  Scenario: a lost connection to a server is not taken for a caller who left
    Given a daemon whose connections to servers break with an error that nothing expects
    When a caller sends a plain request on look
    Then no line of its log says caller-left
    And exactly one line of its log has the cause

  Scenario Outline: a handler that <failure> leaves its client a response, and one line
    Given an HTTP server whose handler <failure>
    When a client sends it a whole request
    Then the client gets a whole response with status 500
    And exactly one line of its log has the cause

    Examples:
      | failure                                   |
      | raises an unexpected error                |
      | loses a connection to a server            |
      | loses the connection of another client    |
      | waits for something that is cancelled     |
      | sends a head that HTTP does not allow     |
      | sends a head that cannot be encoded       |
      | adds an invalid header to all its heads   |
      | returns without a response                |

  Scenario: whatever a handler raises, and wherever, a request ends with a response or visibly
    When 300 handlers end at any point of their response, with any error
    Then each request ended with a whole response, or with a head and a closed connection
    And each that ended with an error left exactly one line

  Scenario Outline: a request whose <step> fails gets <status>, and one line
    Given a daemon whose <step> fails with an error that nothing expects
    When a caller sends a plain request on look
    Then the client gets a whole response with status <status>
    And exactly one line of its log has the cause

    Examples:
      | step                       | status |
      | decoding of requests       | 500    |
      | choice of a route          | 500    |
      | connection to servers      | 500    |
      | wait for a server          | 500    |
      | passing on of responses    | 502    |

  Scenario Outline: a request of a peer whose <step> fails gets <status>, and one line
    Given a daemon whose <step> fails with an error that nothing expects
    When a peer relays a plain request on look
    Then the client gets a whole response with status <status>
    And exactly one line of its log has the cause
    And the peer takes it for a failed attempt that may have run

    Examples:
      | step                       | status |
      | decoding of requests       | 500    |
      | choice of a route          | 500    |
      | connection to servers      | 500    |
      | wait for a server          | 500    |
      | passing on of responses    | 502    |

  Scenario: a failure that only a peer's HTTP layer responds to is not taken for a server's response
    Given a daemon whose configuration fails with an error that nothing expects
    When a peer relays a plain request on look
    Then the client gets a whole response with status 500
    And exactly one line of its log has the cause
    And the peer takes it for a failed attempt that may have run

  Scenario Outline: a <status> response to <method> whose handler adds a body is whole, without it
    Given an HTTP server that responds to everything with <status> and 4 bytes
    When a client sends it <method> twice on one connection
    Then the client gets 2 whole responses with status <status> and no body
    And they announce <length>

    Examples:
      | status | method | length       |
      | 204    | GET    | no length    |
      | 304    | GET    | no length    |
      | 204    | HEAD   | no length    |
      | 200    | HEAD   | length 4     |
      | 503    | HEAD   | length 4     |

  Scenario: a HEAD request that is too large gets a whole refusal
    Given an HTTP server that responds to everything with 200 and 4 bytes
    When a client sends it a HEAD request that announces a body over the limit
    Then the client gets 1 whole responses with status 413 and no body

  Scenario: a client that closes its sending side gets a response that is ready
    Given an HTTP server that responds to everything with 200 and 4 bytes
    When a client sends it a whole request and closes its sending side
    Then the client gets a whole response with status 200

  Scenario Outline: a stream to a client of HTTP 1.0 that is cut as <cause> does not end in order
    Given an HTTP server that sends a part of a response without a length
    When <cause> after a client of HTTP 1.0 has received the part
    Then the connection of the client was reset

    Examples:
      | cause                              |
      | the client closes its sending side |
      | the handler raises an error        |
      | the handler returns                |
      | the server ends its exchanges      |
      | the server closes                  |
      | the server aborts                  |

  Scenario: a caller that closes its sending side gets a response, and no server goes on
    Given a daemon whose server works without end
    When a caller sends a plain request on look and closes its sending side
    Then the client gets a whole response with status 500
    And the work of the server was cancelled
    And exactly one line of its log has the cause

  Scenario: a caller that leaves while its request is being served is noticed at once
    Given a daemon whose server works without end
    When a caller sends a plain request on look and closes its connection
    Then the work of the server was cancelled
    And exactly one line of its log has the cause

  Scenario Outline: a request with the odd value <value> in <header> is served
    Given a daemon and a server that responds well
    When a caller sends a plain request on look with <header> of <value>
    Then the client gets a whole response with status 200

    Examples:
      | header            | value       |
      | x-prompt-prefix   | ²           |
      | x-prompt-prefix   | 5000 digits |
      | x-prompt-prefix   | 400 digits  |
      | x-token-usage     | ²           |
      | x-token-usage     | 5000 digits |
      | x-token-usage     | 400 digits  |
      | x-deadline-ms     | ²           |
      | x-deadline-ms     | nan         |
      | x-deadline-ms     | inf         |
      | x-deadline-ms     | 5000 digits |

  Scenario Outline: the odd value <value> in keep-alive does not lose the response of a server
    Given a daemon and a server that responds with keep-alive of <value>
    When a caller sends a plain request on look
    Then the client gets a whole response with status 200

    Examples:
      | value       |
      | ²           |
      | 5000 digits |

  Scenario Outline: a request that cannot be sent to the only server, for its <property>, is refused as not run
    Given a daemon and a server whose <property>
    When a caller sends a plain request on book with x-deadline-ms of 500
    Then the client gets a whole response with status 503
    And it is told when to come back

    Examples:
      | property                      |
      | name has a line break         |
      | name is not in Latin letters  |
      | address has an empty label    |

  Scenario: a server that closes its connection without a response is named so
    Given a daemon and a server that closes its connections without a response
    When a caller sends a plain request on book
    Then the client gets a whole response with status 502
    And its reason says the server closed the connection without a response

  Scenario: explain names an error that nothing expected
    Given a daemon whose connection to servers fails with an error that nothing expects
    When a caller sends a plain request on look
    Then explain says that the daemon failed with an error that nothing expected

  Scenario: a refusal reaches a client that is still sending its body
    Given an HTTP server that responds to everything with 200 and 4 bytes
    When a client sends it a body far over the limit, and reads when all is sent
    Then the client gets 1 whole responses with status 413 and the reason

  Scenario: what a client sends while a request is handled is not buffered without limit, nor lost
    Given an HTTP server that is still handling a request
    When its client sends 16 further requests with bodies of 1000000 bytes
    Then the server stops reading within its limit on buffered data
    And all 17 requests get a whole response with status 200 once the first is handled

  Scenario: a client that sends far more than its request gets the response
    Given an HTTP server that is still handling a request
    When its client sends 16000000 bytes after a request that closes the connection
    Then the server stops reading within its limit on buffered data
    And all 1 requests get a whole response with status 200 once the first is handled

  Scenario: a request does not end with the connection to a peer that it waits for
    When a peer is disconnected while a call waits for a connection to it
    Then the call fails as one to an unreachable peer
