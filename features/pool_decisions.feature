Feature: Pure decisions of a pool, with the time as an argument

  Scenario: repeated sends of all daemons stay within the shared budget, over restarts too
    Given 6 daemons that share 52 free repeats and 0.2 a request in 10 s
    When each gets 8 requests a second for 30 s, repeats all it may, restarts once
    Then no 10 s saw more repeats than the shared budget

  Scenario: loads over a change of leader stay within the weight store's window
    Given a weight store that allows 2.2 loads a second over 5 s
    When one leader begins all the loads it may, and the next one that was told of them does too
    Then no 5 s saw more loads than 2.2 a second times 1.1 and 3 more

  Scenario: a split sends each part its share of any run of requests
    Given a route split 90 to 10
    When 200 requests are routed
    Then the shares lie within 0.01 of the weights

  Scenario: the longest prefix of a host wins
    Given routes /a/ and /a/b/ of host one, and /a/ of host two
    Then one /a/b/c goes to /a/b/ and one /a/bc goes to /a/ and three /a/ goes nowhere

  Scenario: an event is passed on only when it is whole
    When a stream comes in pieces of 7 bytes and breaks off
    Then only whole events went through, and the last id is known

  Scenario: a request that was refused unstarted waits in sight of the leader, whatever the budget
    Given a server that lists m1 and refuses it, and a budget without room
    When a request for m1 is taken
    Then the demand for m1 shows a request that waits, after one send

  Scenario: a server from which nothing comes while requests are there is passed over
    Given a server that has two requests of this daemon since 10.0 s
    Then it is suspect at 10.8 s, and not at 10.6 s
    When something comes from it at 10.9 s
    Then it is suspect at 11.7 s, and not at 11.5 s
    When both requests have ended
    Then it is not suspect at 20.0 s

  Scenario: a server that refuses a model again and again is asked less and less often
    Given a server that lists m1
    When it refuses m1 each time that it is asked, for 8 s
    Then it was asked at most 7 times, and at once after the leader told of it anew

  Scenario: a lease is not taken while its holder renews it, and at once when the holder has ended
    Given a lease of 3 s held by another daemon
    Then it is not taken after 2.9 s, and is taken after 3.0 s of a store that answers
    And it is taken at once when the holder is known to have ended
    And its holder stops to act before anyone takes it
