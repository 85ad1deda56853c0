Feature: A request that crashes every server that answers it

  Its caller repeats it under new request ids, at one daemon after the other. After the third crash,
  the deployments allow it to reach three more servers.

  Scenario: a request whose only part is its own is known by what it asks for
    Given 5 servers that crash on one request, and 3 daemons
    When the request is repeated 12 times with the prompt own:50
    Then at most 3 of them reached servers after the third crash
    And the last one was rejected at once with a time to come back

  Scenario: a request that crashes servers by its last part
    Given 5 servers that crash on one request, and 3 daemons
    When the request is repeated 12 times with the prompt route:100,own:50
    Then at most 3 of them reached servers after the third crash

  Scenario: a sound part of its prompt is not banned in its place
    Given 5 servers that crash on one request, and 3 daemons
    When the request is repeated 12 times with the prompt route:100,session:50,own:50
    Then at most 3 of them reached servers after the third crash
    And 10 other requests with the prompt route:100,session:50,other:50 are served

  Scenario: a request that crashes servers in the middle of its answer
    Given 5 servers that crash on one request after 20 events, and 3 daemons
    When the request is repeated 12 times with the prompt route:100,own:50
    Then at most 3 of them reached servers after the third crash

  Scenario: a plain request that may be repeated
    Given 5 plain servers that crash on one request, and 3 daemons
    When the plain request is repeated 12 times on look
    Then at most 3 of them reached servers after the third crash
    And 10 other plain requests on look are served

  Scenario: a plain request that cannot be repeated
    Given 5 plain servers that crash on one request, and 3 daemons
    When the plain request is repeated 12 times on book
    Then at most 3 of them reached servers after the third crash
    And 10 other plain requests on book are served

  Scenario: a daemon that starts again knows the request from its peers
    Given 5 servers that crash on one request, and 3 daemons
    When the request is repeated 8 times with the prompt own:50
    And one daemon is killed and starts again
    And the request is repeated 6 times with the prompt own:50
    Then at most 3 of them reached servers after the third crash

  Scenario: the request is still known when all daemons were killed at once
    Given 5 servers that crash on one request, and 3 daemons
    When the request is repeated 8 times with the prompt own:50
    And all daemons are killed and start again
    And the request is repeated 6 times with the prompt own:50
    Then none of them reached servers since the daemons started

  Scenario: a request that is banned while it waits for a place is not sent
    Given a server with one place that must not reject many, and a daemon
    When a stream takes the place, and a request with the prompt route:100,own:50 waits for it
    And the part route is banned before the place is free
    Then the request that waited was rejected with a time to come back, and reached no server
