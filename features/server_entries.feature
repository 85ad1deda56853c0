Feature: Entries in the server list

  Scenario: a server restarted under the same name is a new instance
    Given a daemon that knows s1, started at 1000 ms, with m1
    And the leader has announced that s1 holds m1 and m2
    When s1 is listed as started at 2000 ms, with m3
    Then s1 is listed once
    And s1 can run m3 but neither m1 nor m2

  Scenario: a late entry of an earlier instance is ignored
    Given a daemon that knows s1, started at 2000 ms, with m3
    When s1 is listed as started at 1000 ms, with m1
    Then s1 can run m3 but neither m1 nor m2

  Scenario: a server that drained for a short time and restarted gets requests
    Given a daemon that knows s1, started at 1000 ms, with m1
    When s1 is listed as draining for 10 ms more
    And s1 is listed as started at 2000 ms, with m3
    Then s1 can run m3 but neither m1 nor m2

  Scenario: a server that was replaced at its address and restarted elsewhere gets requests
    Given a daemon that knows s1, started at 1000 ms, with m1
    When another server answers at the address of s1
    And s1 is listed as started at 2000 ms, with m3
    Then s1 can run m3 but neither m1 nor m2

  Scenario Outline: an entry with <defect> makes only its own server unusable
    Given a daemon that knows s1, started at 1000 ms, with m1
    When s2 is listed as <entry>
    Then only s1 is usable
    When s1 is listed as <entry>
    Then no server is usable

    Examples:
      | defect               | entry                                                                                |
      | invalid bytes        | \xff\xfe{{                                                                           |
      | an empty value       | nothing                                                                              |
      | no address           | {"service": "tutor", "zone": "z", "state": "ready"}                                  |
      | no service           | {"address": "a:1", "zone": "z", "state": "ready"}                                    |
      | an unknown state     | {"service": "tutor", "address": "a:1", "zone": "z", "state": "sleeping"}             |
      | no state             | {"service": "tutor", "address": "a:1", "zone": "z"}                                  |
      | an unknown service   | {"service": "else", "address": "a:1", "zone": "z", "state": "ready"}                 |
      | a number for a name  | {"service": 7, "address": "a:1", "zone": "z", "state": "ready"}                      |
      | an invalid address   | {"service": "tutor", "address": "nowhere", "zone": "z", "state": "ready"}            |
      | an invalid port      | {"service": "tutor", "address": "a:99999", "zone": "z", "state": "ready"}            |
      | a text as start time | {"service": "tutor", "address": "a:1", "zone": "z", "state": "ready", "born": "now"} |
      | an array             | [1, 2]                                                                               |

  Scenario: memory is reserved for an order to an earlier instance that may still be executed
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    When one leaves an order to load c unanswered at 10.0 s, at revision 0
    And one starts again and says at 11.0 s that it holds nothing, at revision 0
    Then one has room for 1 model
    When one starts again and says at 12.0 s that it holds nothing, at revision 1
    Then one has room for 2 models
    When one starts again and says at 13.0 s that it holds nothing, at revision 0
    Then one has room for 1 model
    When one says at 30.0 s that it holds nothing, at revision 0
    Then one has room for 2 models

  Scenario: a row with an invalid base64 value does not block the list
    When the store lists s1 with a valid value and s2 with invalid base64
    Then the rows are s1 with its entry and s2 with an empty value
