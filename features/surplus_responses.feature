Feature: A response that a server sends a second time is never taken for the answer

  Scenario Outline: a late refusal of another request is taken for the answer
    Given a daemon and a server that sends <surplus> to another request before its answer
    When a caller sends it a request that cannot be repeated
    Then the caller gets the answer of the server
    And the server ran the request once

    Examples: refusals
      | surplus                                    |
      | a refusal with 503                         |
      | a refusal with 503 without a body          |
      | a refusal with 503 after an early hint     |
      | a refusal with 503 in single bytes         |
      | a refusal with 421                         |
      | a refusal with 421 without a body          |
      | a refusal with 400 without an id           |

  Scenario Outline: the answer after a late response without data at its end is lost
    Given a daemon and a server that sends <surplus> to another request before its answer
    When a caller sends it a request that cannot be repeated
    Then the caller gets the answer of the server
    And the server ran the request once

    Examples: responses
      | surplus                             |
      | a 200 without a body                |
      | a 500 without a body                |
      | a 204                               |
      | a 200 of one last chunk             |
      | a 200 whose last chunk comes alone  |
      | a 500 whose last chunk comes alone  |

  Scenario Outline: a late copy of a request's first refusal is taken for the answer to its second send
    Given a daemon and a server that refuses a request with <status>, and repeats it on the connection
    When a caller sends it a request that cannot be repeated
    Then the caller gets the answer of the server
    And the server ran the request once
    And no connection carried a request twice

    Examples: statuses
      | status |
      | 503    |
      | 421    |

  Scenario Outline: the answer after a late response to a request with another method is lost
    Given a daemon and a server that repeats its first answer on a connection before the second
    When a caller sends it <first>, and another one <second>
    Then each caller gets the answer of the server

    Examples: methods
      | first | second |
      | POST  | POST   |
      | HEAD  | POST   |
      | POST  | HEAD   |

  Scenario: a request fails because its connection ended before it was sent
    Given a daemon and a server that ends each kept connection that a request is to be sent on
    When a caller sends it POST, and another one POST
    Then each caller gets the answer of the server
