Feature: Loads from the weight store are started so that as many callers as possible are served in time

  Scenario: the model whose callers leave first is loaded first, however many wait for another one
    Given a weight store with 1 place that is free, and loads of 6 s
    When 1 caller waits for a and stays for 8 s, and 5 callers wait for b and stay for 15 s
    Then the loads start in the order a, b

  Scenario: the model with the fewest callers gives way where not all can be loaded in time
    Given a weight store with 1 place that is free, and loads of 6 s
    When 1 caller waits for a and stays for 8 s, and 5 callers wait for b and stay for 9 s
    Then the loads start in the order b, a

  Scenario: a model that was requested first keeps its place before one that is requested later
    Given a weight store with 1 place that is free in 2 s, and loads of 6 s
    And a has been missing for 3 s, b for 0 s
    When 1 caller waits for a and stays for 9 s, and 1 callers wait for b and stay for 8 s
    Then the loads start in the order a, b

  Scenario: a model with one caller is loaded in the end, however many callers the others have
    Given a weight store with 1 place that is free, and loads of 6 s
    And a has been missing for 30 s, b for 0 s
    When 1 caller waits for a and stays for 8 s, and 5 callers wait for b and stay for 9 s
    Then the loads start in the order a, b

  Scenario: the higher priority decides between equals
    Given a weight store with 1 place that is free, and loads of 6 s
    And a has priority 2, b priority 0
    When 1 caller waits for a and stays for 9 s, and 1 callers wait for b and stay for 9 s
    Then the loads start in the order b, a

  Scenario: a model that was asked for in vain comes after those that callers wait for
    Given a weight store with 1 place that is free, and loads of 6 s
    And nobody waits for a, which is requested 2 times in 6 s
    When 1 caller waits for b and stays for 8 s
    Then the loads start in the order b, a

  Scenario: as many models of one caller each are loaded in time as in the best order
    Given up to 6 models with one caller each, who leave at any time
    When their loads of 6 s are scheduled on one place, in 200 runs
    Then as many loads start in time as in the best of all orders

  Scenario: a caller counts once, whether it waits or returns
    Given model servers one and two of 100 GB
    And one holds a and b, two holds a and b
    When 2 callers wait for c, and 1 caller of d is refused, returns, and waits
    And 1 load from the weight store may begin
    Then the plan makes room for c first

  Scenario: callers that cannot be served any more do not hold up those that can
    Given model servers one and two of 200 GB
    And one holds nothing, two holds nothing
    And both servers load other models for 4.0 s more
    When callers of c and d stay for 2.0 s, and callers of e and f for 9.0 s
    Then e and f are expected within 9.0 s, c and d after that

  Scenario: a second copy of a busy model is loaded from a cached copy before a load that can wait
    Given model servers one, two and three of 100 GB
    And one holds a, two holds nothing
    And three holds nothing, and has copies of a and c on its disk
    When a is requested 2 times per second at 20.0 s
    And a caller of c stays for 20.0 s at 20.0 s
    Then the plan loads a at three, as a further copy

  Scenario: a model whose callers come all the time is loaded although the last ones could wait
    Given a server with room for one model
    When callers of c keep coming, the first of whom leaves in 1.0 s and the last in 9.0 s
    And callers of d stay for 5.0 s
    Then c is loaded first

  Scenario: callers of an adapter keep their turn although their model was asked for in vain before
    Given a server with room for one model
    When c was asked for in vain 4 times, and 2 callers of an adapter of c stay for 5.0 s
    And callers of d stay for 7.0 s
    Then c is loaded first

  Scenario: a busy model whose callers cannot wait for a load is loaded before one with a single caller
    Given a server with room for one model
    When c is requested 2 times a second by callers that leave too soon for a load
    And callers of d stay for 7.0 s
    Then c is loaded first
