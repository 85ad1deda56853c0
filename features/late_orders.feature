Feature: No order of a daemon reaches a server after the daemon has stopped leading

  Scenario Outline: an order is written although its leader <change> while the connection was opened
    Given a leader whose connections to the server are opened late
    When it has decided on an order, and it <change> before the connection is open
    Then the server has received nothing
    And the order has ended as expired

    Examples:
      | change                                   |
      | loses the lease                          |
      | releases the lease                       |
      | steps down for a while                   |
      | leads again under another fencing token  |

  Scenario: an order is written while its daemon leads
    Given a leader whose connections to the server are opened late
    When it has decided on an order, and the connection is open soon after
    Then the server has received the order
    And the order has ended as accepted

  Scenario: an order that the server has not acknowledged when the lease ends arrives later
    Given a leader whose connections to the server are opened late
    When it has sent an order that the server does not answer
    Then the kernel drops what is not acknowledged when the lease ends
    When the order has timed out
    Then its connection was reset

  Scenario: the lease is given to another daemon while an order may still arrive
    Given a leader whose orders are answered after 0.9 s
    When it waits for its orders before it releases the lease
    Then each order was answered before the wait ended
