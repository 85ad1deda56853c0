Feature: No response is given to an exchange that it does not belong to, and none that belongs is lost

  Scenario: requests, answers, late copies of answers and ends come in any order and in any pieces
    When requests, answers, copies, hints, pauses and ends come in any order, in 80 runs
    Then no exchange was given the answer to another one, or an earlier answer to its request
    And each exchange whose answer had arrived has returned it
    And no exchange waits on a connection that has ended
    And no connection carried a request twice, or one without an id after another
    And no connection was used again after a surplus response
    And each surplus response that was skipped was reported once
    And the runs had exchanges on kept connections, repeated requests, skipped copies and ends

  Scenario: a late copy of a response without the body that its length says, or with one, is misread
    When the same happens to requests with and without HEAD, in 40 runs
    Then no exchange was given the answer to another one, or an earlier answer to its request
    And each exchange whose answer had arrived has returned it
    And no exchange waits on a connection that has ended

  Scenario: a pool keeps connections that their server has ended
    When requests, answers, copies, hints, pauses and ends come in any order, in 30 runs
    Then nothing was kept of the connections that had ended

  Scenario: a server that only repeats itself does not keep an exchange waiting without end
    When a server sends copies of an earlier answer without end
    Then the exchange has failed, and its connection is closed
