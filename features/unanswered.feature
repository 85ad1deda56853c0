Feature: A request that was read whole ends with a whole response, or visibly inside one

  Scenario: a lost connection to a server is not taken for a caller who left
    Given a daemon whose connections to servers break with an error that nothing expects
    When a caller sends a plain request on look
    Then no line of its log says caller-left
    And exactly one line of its log has the cause
