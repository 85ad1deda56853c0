Feature: Concurrent callers share a call

  Scenario: callers that ask while a call is under way share the next one
    Given a call that takes 1.0 s
    When 1 caller asks at 0.0 s, and 3 callers ask at 0.5 s
    Then the call was made 2 times, and the last caller had its result after 2.0 s

  Scenario: callers share the failure of a call, and do not repeat it one after the other
    Given a call that fails after 1.0 s
    When 1 caller asks at 0.0 s, and 3 callers ask at 0.5 s
    Then the call was made 2 times, and the last caller had its result after 2.0 s

  Scenario: a caller that leaves does not end the call of the others
    Given a call that takes 1.0 s
    When 2 callers ask at 0.0 s, and one of them leaves at 0.5 s
    Then the call was made once, and the other caller had its result after 1.0 s
