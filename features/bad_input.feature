Feature: Bad input of any kind gets a clear typed error, and nobody else is disturbed

  Background:
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And 1 application servers for booking at /book
    And a site of 1 daemons and 1 engines

  Scenario Outline: <name>
    When a caller sends the bytes <sent>
    Then the answer has status <status> and problem <problem>, and states not-run
    And another caller is still served

    Examples:
      | name                     | sent                    | status | problem            |
      | a line that is no HTTP   | not-http                | 400    | malformed-request  |
      | two different lengths    | two-lengths             | 400    | malformed-request  |
      | length and chunked       | length-and-chunked      | 400    | malformed-request  |
      | a bad chunk              | bad-chunk               | 400    | malformed-request  |
      | a head that is too large | large-head              | 431    | malformed-request  |
      | too many headers         | many-headers            | 431    | malformed-request  |
      | a body that is too large | large-body              | 413    | malformed-request  |
      | an unknown model         | unknown-model           | 404    | unknown-model      |
      | an unknown version       | unknown-version         | 404    | unknown-model      |
      | an unknown group         | unknown-group           | 404    | unknown-group      |
      | an unknown route         | unknown-route           | 404    | unknown-route      |
      | JSON that is cut         | bad-json                | 400    | invalid-body       |
      | JSON without a model     | no-model                | 400    | invalid-body       |
      | a deadline of words      | bad-deadline            | 400    | invalid-header     |
      | a negative deadline      | negative-deadline       | 400    | invalid-header     |
      | a deadline of no number  | nan-deadline            | 400    | invalid-header     |
      | a wrong method for chat  | wrong-method            | 405    | method-not-allowed |
      | a wrong method for apps  | trace-method            | 405    | method-not-allowed |
      | an endless key           | long-key                | 400    | invalid-header     |

  Scenario: a head that comes slowly is timed out
    When a caller sends half a head and waits
    Then the answer has status 408 and problem malformed-request, and states not-run

  Scenario: a body shorter than announced is timed out
    When a caller sends half a body and waits
    Then the answer has status 408 and problem malformed-request, and states not-run

  Scenario: a body longer than announced does not become another request's
    When a caller sends a body longer than announced
    Then the first answer is whole and the rest is refused as malformed
    And another caller is still served

  Scenario: a caller that goes away is counted and frees its place
    When 8 callers ask for tutor and go away
    Then the daemon counts them as cancelled and nothing waits
    And another caller is still served
