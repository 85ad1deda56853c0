Feature: A response whose head is incomplete, or whose stream holds no event, is no success

  Background:
    Given a model server one that holds m1
    And a plain server shop

  Scenario: servers close in the middle of the heads of their responses
    Given 1 pool daemons
    When requests of every kind meet heads that are cut at 40 places
    Then no reply is a success

  Scenario: servers close in the middle of the heads of responses that a peer relays
    Given links between daemon-1 and all servers
    And 2 pool daemons
    When the links to the servers become reset
    And requests of every kind meet heads that are cut at 10 places
    Then no reply is a success

  Scenario: a server closes after the head of a stream
    Given 1 pool daemons
    When server one has faults has_no_events=true
    And a model request on drill for m1 is sent
    And a model request on draft for m1 is sent
    Then no reply is a success
