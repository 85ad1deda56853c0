Feature: Servers that fall over when they reject too many requests

  Such servers say how many rejections in a second they stand. The deployments allow them to fall
  over 2 times plus a tenth of their number.

  Scenario: one daemon at twice the load does not make servers fall over
    Given 5 model servers with few places
    And 1 pool daemons
    And the servers fall over when they reject more than 10 requests in a second
    When requests come at 2.0 times what the servers hold, for 5.0 s
    Then the servers fell over at most 2 times
    And at least 0.9 of the requests that they could hold were served
    And every rejected request may come back at a given time

  Scenario: 6 daemons at a load that fits lose nothing
    Given 5 model servers with few places
    And 6 pool daemons
    And the servers fall over when they reject more than 10 requests in a second
    When requests come at 0.5 times what the servers hold, for 5.0 s
    Then the servers fell over at most 0 times
    And every request was served

  Scenario: 6 daemons at twice the load, each unaware of the others' requests, make no servers fall over
    Given 5 model servers with few places
    And 6 pool daemons
    And the servers fall over when they reject more than 2 requests in a second
    When requests come at 2.0 times what the servers hold, for 5.0 s
    Then the servers fell over at most 2 times
    And at least 0.9 of the requests that they could hold were served
    And every rejected request may come back at a given time
    And no request ended in another way

  Scenario: servers that have half of the places that they state rarely fall over
    Given 5 model servers that have 4 places and state 8
    And 6 pool daemons
    And the servers fall over when they reject more than 2 requests in a second
    When requests come at 4.0 times what the servers hold, for 5.0 s
    Then the servers fell over at most 2 times
    And at least 0.9 of the requests that they could hold were served
    And every rejected request may come back at a given time
    And no request ended in another way

  Scenario: a daemon that starts while no other runs knows which servers must not reject many
    Given a server with one place that must not reject many, and a daemon
    When the daemon is killed once the store has the limit, and starts again
    Then it has the limit from the store
