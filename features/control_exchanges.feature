Feature: An order or a report is not answered by the response to another exchange

  Background:
    Given a server that repeats each response where the next one on its connection is due

  Scenario Outline: an order is not answered by the surplus <status> of a request
    Given it answers requests with <status>, and orders with 202
    When a request is served, and then an order is sent
    Then the orders were answered as accepted

    Examples:
      | status |
      | 200    |
      | 400    |
      | 503    |

  Scenario: an order is not answered by the surplus response to a report
    Given it has the revision 5, and answers orders with 202
    When a report is read, and then an order is sent
    Then the orders were answered as accepted

  Scenario: an order is not answered by the surplus response to another order
    Given it has the revision 5, and answers orders with 202 and 409
    When two orders are sent
    Then the orders were answered as accepted, conflict

  Scenario: a report is not the surplus response to an order
    Given it has the revision 5, and answers orders with 200
    When an order is sent, and then a report is read
    Then the report has the revision 5

  Scenario: a report is not the surplus response to a request
    Given it has the revision 5, and answers requests with 200
    When a request is served, and then a report is read
    Then the report has the revision 5

  Scenario: a leader knows of its load although the server repeats its report
    Given it has the revision 5, and answers orders with 202
    When a daemon leads until an order for a model is answered
    Then it has announced that the server loads the model

  Scenario: a daemon that leads again does not begin with a report from its earlier term
    Given it has the revision 5
    When a daemon leads, loses the lease until the server has the revision 7, and leads again
    Then the first holdings that it announces then have the revision 7

  Scenario: a daemon that has ended has closed its connections
    Given it has the revision 5, and answers requests with 200
    When a request is served, a report is read, and the daemon ends
    Then the server has no open connection
