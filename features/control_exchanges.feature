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

  Scenario Outline: a report read beside an order that failed is not older than what is known
    Given a leader that knows the revision 6 of a process <process>
    When an order is answered with 409, and then a report of that process at revision 5 arrives
    Then the leader <decision> the report

    Examples:
      | process                     | decision        |
      | with a start time           | does not use    |
      | without a known start time  | uses            |

  Scenario: a report is not older than an accepted order after which another one failed
    Given a leader that knows the revision 5 of a process with a start time
    When an order is accepted and the next one is answered with 409, and then a report of that process at revision 5 arrives
    Then the leader does not use the report

  Scenario: a server whose reports are too old is read as often as a busy one
    Given a leader whose orders a server at revision 6 answers with 409, and whose reports are then of revision 5
    When it leads for 1.0 s while daemons report demand often
    Then the server has been read at most every 0.1 s since the last order

  Scenario: a report that comes a second time and still shows a load starts no other load
    Given model servers one and two of 100 GB
    And one holds a, two holds a
    When one begins to load c from the weight store at 10.0 s
    Then one does not hold c at 14.0 s, and holds it at 14.1 s
    When a request waits for c at 14.8 s
    And a report of one at 14.8 s still shows the load
    Then the plan is empty

  Scenario: an order to an engine is not answered by the surplus response to another order
    Given it answers an engine's orders as done, and then as out of memory
    When two orders are sent to the engine
    Then the engine's answers are done, no-memory

  Scenario: a fence of an engine is not answered by the surplus response to another fence
    Given it answers fences with the generations 1 and 2
    When two fences are raised
    Then the inventories have the generations 1, 2

  Scenario: a daemon that has ended has closed its connections
    Given it has the revision 5, and answers requests with 200
    When a request is served, a report is read, and the daemon ends
    Then the server has no open connection
