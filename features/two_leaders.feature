Feature: At most one daemon leads at a time, whatever the others hear of it

  Background:
    Given a model server one that holds m1
    And leases of 2 s
    And 3 pool daemons with links to the store and to each other
    And it is recorded who leads

  Scenario Outline: a leader that is cut off while all others restart leads beside the next one, <state>
    When all other daemons have stopped and are listed no more
    And the lease is renewed 2 times
    And the links between the leader and its peers become <state>
    And the link between the leader and the store becomes <state>
    And all other daemons start again
    Then another pool daemon becomes the leader
    When the lease is renewed 3 times
    Then no two daemons have led at once
    And the lease has changed hands at most once per lease duration

    Examples: kinds of network faults
      | state     |
      | partition |
      | reset     |

  Scenario Outline: the lease is taken from a leader that peers can't connect to and that renews it, <state>
    When the links between the leader and its peers become <state>
    And the lease is renewed 10 times
    Then the leader still leads under the same fencing token
    When the link between the leader and the store becomes <state>
    Then another pool daemon becomes the leader
    When the lease is renewed 3 times
    And the links between the leader and its peers become heal
    And the link between the leader and the store becomes heal
    And the lease is renewed 3 times
    Then no two daemons have led at once
    And the lease has changed hands at most once per lease duration

    Examples: kinds of network faults
      | state     |
      | reset     |
      | partition |
