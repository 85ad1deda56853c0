Feature: Where and when models are loaded, decided from views with the time as an argument

  Scenario: what a model has made way for is loaded there, and nowhere else
    Given model servers one and two of 100 GB
    And one holds a and b, two holds a and d
    When a request waits for c at 10.0 s
    Then the plan is one order: unload a or b or d
    When that order is accepted and done at 10.2 s
    Then the plan is one order: load c at the same server

  Scenario: nothing else makes way for a model while one does
    Given model servers one and two of 100 GB
    And one holds a and b, two holds a and d
    When a request waits for c at 10.0 s
    And the first order of the plan is accepted at 10.05 s
    Then the plan is empty

  Scenario: a server that is busy for a moment and has a copy is waited for
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    And one has a copy of c on its disk and loads d until 11.0 s
    When a request waits for c at 10.0 s
    Then the plan is empty

  Scenario: a server that is busy for long is not waited for
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    And one has a copy of c on its disk and loads d until 16.0 s
    When a request waits for c at 10.0 s
    Then the plan is one order: load c at two
