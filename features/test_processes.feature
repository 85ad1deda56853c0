Feature: Test runs do not disturb each other

  Scenario: a test run that is killed leaves no process behind
    Given a test run that has started a process
    When the test run is killed
    Then the process that it had started has ended
