Feature: Servers receive no order of a daemon that has stopped leading, whatever happens to it

  Daemons are stopped with a signal, cut off from the store, from each other and from the servers,
  restarted and killed, in series, while cold requests make the leader give orders.

  Background:
    Given a soak of orders with 3 daemons for 25 s, seed 67, or as given

  Scenario: servers receive an order with a lower fencing token after one with a higher one
    Then no server received an order under an earlier fencing token

  Scenario: two daemons give orders under one fencing token
    Then no two daemons gave orders under one fencing token

  Scenario: servers receive orders of two daemons by turns within a lease
    Then no daemon gave orders to a server again within a lease after another one had

  Scenario: the soak gives no orders
    Then servers received orders of several daemons
