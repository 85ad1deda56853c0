Feature: What an entry in the list of servers names

  Scenario: a server that starts again under its name is another life
    Given a daemon that lists s1, started at 1000 ms, with m1
    And the leader has told it that s1 holds m1 and m2
    When s1 is listed as started at 2000 ms, with m3
    Then s1 is listed once
    And s1 can run m3, and neither m1 nor m2

  Scenario: a late entry of an earlier life changes nothing
    Given a daemon that lists s1, started at 2000 ms, with m3
    When s1 is listed as started at 1000 ms, with m1
    Then s1 can run m3, and neither m1 nor m2

  Scenario: a server that left at short notice and starts again gets work
    Given a daemon that lists s1, started at 1000 ms, with m1
    When s1 is listed as draining for 10 ms more
    And s1 is listed as started at 2000 ms, with m3
    Then s1 can run m3, and neither m1 nor m2

  Scenario: a server that was replaced at its address and starts again elsewhere gets work
    Given a daemon that lists s1, started at 1000 ms, with m1
    When another server answers at the address of s1
    And s1 is listed as started at 2000 ms, with m3
    Then s1 can run m3, and neither m1 nor m2

  Scenario Outline: an entry with <name> names no server to use, and the others hold
    Given a daemon that lists s1, started at 1000 ms, with m1
    When s2 is listed as <entry>
    Then only s1 may get work
    When s1 is listed as <entry>
    Then no server may get work

    Examples:
      | name                 | entry                                                                     |
      | bytes that are none  | \xff\xfe{{                                                                |
      | no bytes             | nothing                                                                   |
      | no address           | {"service": "tutor", "zone": "z", "state": "ready"}                       |
      | no service           | {"address": "a:1", "zone": "z", "state": "ready"}                         |
      | a state of its own   | {"service": "tutor", "address": "a:1", "zone": "z", "state": "sleeping"}  |
      | no state             | {"service": "tutor", "address": "a:1", "zone": "z"}                       |
      | an unknown service   | {"service": "else", "address": "a:1", "zone": "z", "state": "ready"}      |
      | a number for a name  | {"service": 7, "address": "a:1", "zone": "z", "state": "ready"}           |
      | an address of words  | {"service": "tutor", "address": "nowhere", "zone": "z", "state": "ready"} |
      | a port beyond all    | {"service": "tutor", "address": "a:99999", "zone": "z", "state": "ready"} |
      | a start that is text | {"service": "tutor", "address": "a:1", "zone": "z", "state": "ready", "born": "now"} |
      | a list               | [1, 2]                                                                    |

  Scenario: room is kept for an order to an earlier life that may still be carried out
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

  Scenario: a row whose value is no base64 does not stop the list
    When the store lists s1 in order and s2 with a value that is no base64
    Then the rows are s1 with its entry and s2 with nothing
