Feature: A caller gets the answer to its request, whatever came over the connection before

  Scenario Outline: the answer after a late response to a request with another method is lost
    Given a daemon and a server that repeats its answer to a <first> request before the next one
    When a caller sends a <first> request and then a <second> request
    Then the caller gets the answer to each
    And the server ran each request once

    Examples: methods
      | first | second |
      | HEAD  | POST   |
      | POST  | HEAD   |

  Scenario: a request that its server declines with status 421 alone is not sent again
    Given a daemon and a server that first declines a request with status 421 alone
    When a caller sends a POST request
    Then the caller gets the answer to each
    And the request was sent twice, over two connections

  Scenario: a request whose connection header lists its id is refused after another request
    Given a daemon and a server that answers each request
    When a caller sends a POST request and then a POST request whose connection header lists its id
    Then the caller gets the answer to each

  Scenario: the ids of earlier requests take more memory than a daemon has
    Given a connection to a server that answers each request
    When the connection carries as many requests as it may, with the longest ids
    Then as many connections as a daemon keeps to a server need at most 64 MB for the ids

  Scenario: a request that was not sent, since its connection had just ended, is answered 502
    Given a connection to a server that answers each request
    When a request is sent when the server has closed the idle connection
    Then it goes over a new connection
