Feature: Requests to servers that send responses a second time, late, among restarts and changes

  Servers repeat any response that they gave, byte for byte, before the next one on the connection:
  rejections, errors, streams, and those to orders and reports. Plain servers have few places.
  Servers pause, crash and fail, daemons restart and reload, and the configuration changes, at the
  same time. All scenarios judge the record of one soak.

  Background:
    Given a soak of repeated responses with 4 daemons for 8 s, seed 62, or as given

  Scenario: servers repeat responses in every way
    Then servers sent copies while idle, before, with and around the next response

  Scenario: a request that cannot be repeated runs once although responses are repeated
    Then no request that cannot be repeated ran twice, or ran although it was refused

  Scenario: no refused request runs, then or later
    Then no request of the soak was refused and ran

  Scenario: no request gets the response to another one
    Then no request of the soak was answered with the response to another one

  Scenario: a repeated response costs no request its own
    Then no request of the soak was answered 502 because of a repeated response
    And every request that was read was answered completely

  Scenario: streams are whole beside repeated responses
    Then no stream of the soak has events of two software versions
    And no stream of the soak lacks or repeats an event
    And no stream of the soak is closed as complete before its last event

  Scenario: the leader knows what became of its orders although responses are repeated
    Then no answer to an order was taken for another
    And no order of the soak overcommitted a server

  Scenario: all daemons serve again, with every model, after repeated responses
    Then no daemon of the soak ended by itself
    And every daemon became ready again and served every route
