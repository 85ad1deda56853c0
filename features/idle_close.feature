Feature: A request that meets the close of its connection gets an answer, or was not read

  Scenario: a request that arrived as the idle timer of its connection fired is answered
    Given an HTTP server and 200 connections that are about to be closed as idle
    When a request arrives on each after its idle timer is due, and before it runs
    Then all 200 requests are answered

  Scenario: a request that arrived as its server stopped listening is answered
    Given an HTTP server and 200 connections that are about to be closed as idle
    When a request arrives on each just before the server stops listening
    Then all 200 requests are answered, and say that the connection closes

  Scenario: a request that arrived as the response before it ended, while the server stops, is answered
    Given an HTTP server and 200 connections that are about to be closed as idle
    When a response on each, which left it open, ends as a request arrives after the server stopped
    Then all 200 requests are answered, and say that the connection closes

  Scenario Outline: a stopping daemon waits for a request whose <part> has arrived
    Given a daemon whose configuration has an idle timeout of 15.0 s
    When the <part> of a request arrives as the stopping daemon looks for its last requests
    Then the daemon waits for the rest, and the request is answered

    Examples:
      | part       |
      | whole      |
      | first line |
      | head       |

  Scenario Outline: a connection that is kept for <kept> s is announced for <announced> s
    Given an HTTP server that keeps idle connections for <kept> s
    When a client sends it a request that leaves the connection open
    Then its response announces that the connection is kept for <announced> s

    Examples:
      | kept | announced |
      | 15.0 | 12        |
      | 4.0  | 3         |
      | 1.5  | 1         |
      | 1.25 | 1         |

  Scenario Outline: nothing is announced for a connection that <state>
    Given an HTTP server that keeps idle connections for <kept> s
    When a client sends it a request on a connection that <state>
    Then its response does not announce how long the connection is kept

    Examples:
      | state                              | kept |
      | is kept for less than a second     | 1.2  |
      | closes since the server drains     | 15.0 |
      | closes since the client asks       | 15.0 |
      | closes since it is one of HTTP 1.0 | 15.0 |

  Scenario: a time that a handler announces itself is not announced again
    Given an HTTP server that keeps idle connections for 15.0 s
    When a client sends it a request whose handler announces 3 s
    Then its response announces that the connection is kept for 3 s

  Scenario: clients that heed what is announced never meet a closed connection
    Given a daemon whose configuration has an idle timeout of 1.3 s
    When 100 clients use their connections 2 times each, after up to the time that was announced
    Then each request is answered on the connection that was kept for it

  Scenario: a request that is sent around the close of an idle connection is answered or unread
    Given a daemon whose configuration has an idle timeout of 0.3 s
    When 300 clients each send a second request up to 3 ms before, at or after that time
    Then the daemon has answered all requests that it has read
    And each client without an answer found its connection closed
