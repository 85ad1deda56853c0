Feature: A request that may not be repeated runs at most once

  Background:
    Given 2 application servers for booking at /book
    And a site of 3 daemons and 1 engines

  Scenario: the same key through all daemons at once
    When 20 bookings are sent through all daemons at once, each with its own key
    Then each booking ran exactly once
    And the replies that are not successes are refusals duplicate-request, unknown

  Scenario: the same key again after the daemon that had it was killed
    When the back end each has the fault delay_seconds = 1
    And 10 bookings begin through daemon-3, each with its own key
    And all 10 bookings run
    And the daemon daemon-3 is killed
    And the same bookings are sent again through daemon-1
    Then nothing ran twice
    And the replies that are not successes are refusals duplicate-request, unknown

  Scenario: the answers are lost after the bookings ran
    When the back end each has the fault lose_answers = true
    And 10 bookings are sent through daemon-1, each with its own key
    And the same bookings are sent again through daemon-2
    Then nothing ran twice

  Scenario: a voter is killed and replaced between two tries
    Given a spare daemon daemon-4 in zone-a
    When 10 bookings are sent through daemon-1, each with its own key
    And a voter that is not the controller is killed
    And daemon-4 becomes a voter in its place
    And another voter is killed
    And the same bookings are sent again through daemon-4
    Then nothing ran twice

  Scenario: all voters are replaced one after the other between two tries
    When all voter seats are filled again
    And 10 bookings are sent through daemon-1, each with its own key
    And every daemon is killed and started again, one after the other
    And the same bookings are sent again through daemon-1
    Then nothing ran twice
    And the replies that are not successes are refusals duplicate-request, unknown

  Scenario: a key whose request was refused as not run can be used again
    When the back end each has the fault refuse = true
    And 5 bookings are sent through daemon-1, each with its own key
    Then every reply is a refusal, not-run, with Retry-After
    When the back end each has the fault refuse = false
    And the replies are forgotten
    And the same bookings are sent again through daemon-2
    Then each booking ran exactly once
