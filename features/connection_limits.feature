Feature: Open connections outlive changes of the limits, and their requests get a response

  Scenario: a connection is kept for the longest idle timeout that was in force while it was open
    Given a daemon whose configuration has an idle timeout of 10.0 s
    And a caller's connection that becomes idle
    When a version with an idle timeout of 2.0 s is activated 1.0 s later
    And the connection is used 1.0 s after that
    Then the connection is open 8.0 s later, and closed 2.5 s after that

  Scenario: an idle timeout that is raised and lowered again is kept by connections that rest
    Given a daemon whose configuration has an idle timeout of 4.0 s
    And a caller's connection that becomes idle
    When a version with an idle timeout of 10.0 s is activated 1.0 s later
    And a version with an idle timeout of 2.0 s is activated 1.0 s later
    Then the connection is open 7.0 s later, and closed 2.0 s after that

  Scenario: a higher limit on heads also holds for connections that are open already
    Given a daemon whose configuration has a head limit of 1000 bytes
    And a caller's connection that has served a request
    When a version with a head limit of 40000 bytes is activated
    And a request with a head of 30000 bytes is sent on that connection
    Then it gets a response with status 404

  Scenario: a lower limit on heads also holds for connections that are open already
    Given a daemon whose configuration has a head limit of 40000 bytes
    And a caller's connection that has served a request
    When a version with a head limit of 1000 bytes is activated
    And a request with a head of 30000 bytes is sent on that connection
    Then it gets a response with status 431

  Scenario Outline: requests that were read before the server <state> are all served
    Given an HTTP server that serves 5 requests that came together on one connection
    When it <state> while it serves the first
    Then all 5 get a whole response, and only the last says that the connection closes

    Examples:
      | state           |
      | stops listening |
      | starts to drain |

  Scenario: a request that is read after a stopping daemon has ended all others is refused
    Given a daemon that has ended all requests, as it stops
    When a caller sends a plain request on book
    Then the client gets a whole response with status 503
    And it is told when to come back

  Scenario: a request that was just read counts as one that a stopping daemon waits for
    Given a daemon whose configuration has an idle timeout of 10.0 s
    And a caller's connection that becomes idle
    When the daemon waits for its last requests just after one was read
    Then it has responded

  Scenario: a request that runs out of time as a daemon ends all others does not keep it from that
    When a daemon ends its two requests, one of which has just run out of time
    Then both have ended

  Scenario: a request that a daemon cuts off is not logged as one whose caller left
    Given a daemon whose server works without end
    When it closes its connections while it serves a request
    Then no line of its log says caller-left
    And its log says that the request is unanswered

  Scenario: the requests that a stopping server cancels get a response
    Given an HTTP server that works on 3 requests without end, as it stops
    When it ends its exchanges
    Then all 3 get a whole response with status 500
