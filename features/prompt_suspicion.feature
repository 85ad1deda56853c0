Feature: What crashes of servers say of the parts of prompts

  Background:
    Given requests with the parts route and session, and a part of their own

  Scenario: a part under which servers end one after the other is banned, and the part before it is not
    When servers end at 0, 400 and 900 ms under route and bad
    Then bad is banned
    And route is not banned

  Scenario: a first part that crashes servers is banned, whatever follows it
    When a server ends at 0 ms under route and one
    And a server ends at 400 ms under route and two
    And a server ends at 900 ms under route and three
    Then route is banned
    And one is not banned

  Scenario: a rack that loses power speaks against no prompt
    When servers end at 0, 20 and 40 ms under route and session
    Then route is not banned
    And session is not banned
    And a request with session may be repeated

  Scenario: a part that was answered whole a short while ago is not suspected
    When a request with route and session is answered whole at 0 ms
    And servers end at 100, 500 and 1000 ms under route and session
    Then route is not banned
    And session is not banned

  Scenario: a suspected part that is answered whole is cleared
    When servers end at 0, 400 and 900 ms under route and session
    And a request with route and session is answered whole at 1000 ms
    Then session is not banned

  Scenario: a request is not repeated once two servers have ended under one of its parts
    When servers end at 0 and 400 ms under route and bad
    Then bad is not banned
    And a request with bad may not be repeated

  Scenario: after a ban one more crash bans again, for longer
    When servers end at 0, 400 and 900 ms under route and bad
    And a server ends at 130000 ms under route and bad
    Then bad is banned until 370000 ms
