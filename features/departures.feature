Feature: All daemons learn in time that a server leaves, whatever one way of learning it does

  Scenario Outline: a server that leaves gets no request after the drain bound: <trouble>
    Given a fleet of <daemons> daemons, <mirrors> of them mirrors, under a drain bound of <bound> s
    And entries of servers that change twice a second
    When <trouble>, and a server says that it leaves, in each of 4 plays
    Then each daemon that has a way to know stops using it within the bound

    Examples: fleets and troubles
      | daemons | mirrors | bound | trouble                                               |
      | 69      | 3       | 3.0   | all is well                                           |
      | 69      | 3       | 3.0   | the feeds hear nothing for 1 s and lose their history |
      | 69      | 3       | 3.0   | the store refuses a third of the daemons              |
      | 69      | 3       | 3.0   | the store is silent to a third of the daemons         |
      | 69      | 3       | 3.0   | the store is silent to all mirrors                    |
      | 69      | 3       | 3.0   | a mirror is cut off, and the feeds lose their history |
      | 69      | 3       | 3.0   | a third of the daemons is gone, the mirrors first     |
      | 195     | 7       | 4.0   | the store refuses a third of the daemons              |
      | 6       | 3       | 2.0   | a mirror is cut off, and the feeds lose their history |
