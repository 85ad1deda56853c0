Feature: No order of answers and copies on a connection gives a request the answer to another send

  Scenario: a request gets the answer to another send, or loses its own
    When callers send requests to servers that repeat answers, in 60 seeded runs
    Then each send gets the answer that was made for it
    And many copies were sent

  Scenario: a connection is used again after a surplus response
    When a caller sends 3 requests, before the answer to the second of which a copy of the first comes
    Then they went over connections 1, 1, 2

  Scenario: a connection accepts the same request a second time
    When a request is sent twice on one connection
    Then the second send fails, and the server has got one request

  Scenario: a connection collects the ids of any number of requests
    When a caller sends as many requests as a connection may carry, and one more
    Then only the last one went over a second connection
