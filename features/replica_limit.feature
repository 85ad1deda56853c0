Feature: No more replicas of a model are loaded than were decided

  Background:
    Given model tutor of 4000 MiB that loads in 1 s, at most 1 replicas
    And a site of 3 daemons and 3 engines

  Scenario: a burst reaches every daemon together
    When 20 callers ask each daemon for tutor
    Then every reply has status 200
    And at most 1 replicas of tutor@v1 were loaded at once

  Scenario: the controller is killed in the middle of the load
    When 10 callers begin to ask each daemon but the controller for tutor
    And an engine loads tutor@v1
    And the controller is killed
    Then every reply has status 200
    And at most 1 replicas of tutor@v1 were loaded at once
    And another daemon leads

  Scenario: the controller is paused in the middle of the load and wakes after it was replaced
    When 10 callers begin to ask each daemon but the controller for tutor
    And an engine loads tutor@v1
    And the controller is paused
    Then every reply has status 200
    And another daemon leads
    When the paused daemon goes on
    And 10 callers ask each daemon for tutor
    Then every reply has status 200
    And at most 1 replicas of tutor@v1 were loaded at once

  Scenario: the answers to orders are lost after they took effect
    When engines lose the answers to /v1/orders
    And 10 callers ask each daemon for tutor
    Then every reply has status 200
    And at most 1 replicas of tutor@v1 were loaded at once

  Scenario: the engine is killed in the middle of the load
    When 10 callers begin to ask each daemon for tutor
    And an engine loads tutor@v1
    And that engine is killed and listed as gone
    Then every reply has status 200
    And at most 1 replicas of tutor@v1 were loaded at once on engines that live

  Scenario: the engine is paused in the middle of the load and goes on later
    When 10 callers begin to ask each daemon for tutor
    And an engine loads tutor@v1
    And that engine is paused
    And the controller has led for 60 more heartbeats
    And that engine goes on
    Then every reply has status 200
    And at most 1 replicas of tutor@v1 were loaded at once
