Feature: A daemon that is being stopped passes on no request that it would cut off

  Scenario Outline: a request on <route> that comes while its daemon is stopped is cut at its end
    Given a daemon whose server answers when told to
    When a request on <other> is at the server, and the daemon is told to stop
    And a request on <route>, which may take longer than the daemon lives, follows on the same connection
    And the server answers
    Then the first request is answered by the server
    And the last one is refused at once with 503 and a time to come back
    And the server has received one request

    Examples:
      | route | other |
      | book  | look  |
      | look  | book  |

  Scenario: a request that is expected to end before its daemon is refused
    Given a daemon whose server answers when told to
    And the server answers
    When a request on look was served, the daemon is told to stop, and another one comes
    Then both requests are answered by the server

  Scenario: a server goes on with a request for longer than the stopping daemon that sent it lives
    Given a daemon whose server answers when told to
    And the server answers
    When a request on look was served, the daemon is told to stop, and another one comes
    Then the server was given no more time for the last one than the daemon has left

  Scenario: a request that waits for its model at a daemon that is being stopped is refused late
    Given a daemon whose server holds no model
    When a request waits for its model, and the daemon is told to stop
    Then the last one is refused at once with 503 and a time to come back

  Scenario: a peer's request is refused, not declined, by a daemon that is being stopped
    Given a daemon whose server answers when told to
    When the daemon is told to stop, and a peer relays a request on look
    Then the peer's request is declined

  Scenario Outline: the time that a request may take is expected from those before
    Given requests on look that took <served> s with <tokens> tokens
    When the daemon ends in <left> s and a request for <new> tokens has 30 s
    Then the request <result>

    Examples:
      | served   | tokens | left | new | result    |
      | none     | 0      | 29.9 | 0   | is refused |
      | none     | 0      | 30   | 0   | is taken   |
      | 1        | 0      | 1.2  | 0   | is refused |
      | 1        | 0      | 1.3  | 0   | is taken   |
      | 3,1,1    | 0      | 2    | 0   | is refused |
      | 1        | 10     | 2    | 20  | is refused |
      | 1        | 10     | 2.6  | 20  | is taken   |
      | 1        | 10     | 1.3  | 5   | is taken   |
