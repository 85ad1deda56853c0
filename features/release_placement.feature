Feature: Placement of models while servers of one software version are replaced by another's

  Scenario: the model of running streams had no copy left at their version once its holder drained
    Given servers of v1 hold m0 and m1, m2 and m3, m4 and m5, each with room for 2 models
    And 10 streams of m0 run at v1
    When 2 empty servers of v1.1 join
    And 6.0 s pass with requests for m0
    And a server of v1 that holds m0 drains
    Then m0 is held at v1

  Scenario: servers of a version drain one after the other
    Given servers of v1 hold m0 and m1, m2 and m3, m4 and m5, each with room for 2 models
    And 10 streams of m0 run at v1
    When 3 empty servers of v1.1 join
    And 6.0 s pass with requests for m0
    And a server of v1 that holds m0 drains
    And 6.0 s pass with requests for m0
    And a server of v1 that holds m0 drains
    Then m0 is held at v1

  Scenario: both holders drained at once, as two servers of the new version had taken their places
    Given servers of v1 hold m0 and m1, m0 and m2, m3 and m4, m5 and m6, each with room for 2 models
    And 20 streams of m0 run at v1
    When 2 empty servers of v1.1 join
    And 6.0 s pass without requests
    And a server of v1 that holds m0 drains
    And a server of v1 that holds m0 drains
    Then m0 is held at v1

  Scenario: new requests crowded at the old version, which had enough copies
    Given servers of v1 hold m0 and m1, m0 and m2, m3 and m4, each with room for 2 models
    And 20 streams of m0 run at v1
    When 2 empty servers of v1.1 join
    And 8.0 s pass with requests for m0
    Then m0 is held at v1.1

  Scenario: memory freed for a second copy was not used while the first one was loading
    Given servers of v1 hold m1 and m2, m3 and m4, each with room for 2 models
    And 20 streams of m0 run at v1
    When 1 empty servers of v1.1 join
    And 5.0 s pass without requests
    Then m0 is held by 2 servers of v1

  Scenario: the last copy of a version was evicted while its streams ran at a server that drains
    Given servers of v1 hold m0 and m1, m0 and m2, each with room for 2 models
    And 10 streams of m0 run at v1
    When 1 server of v1.1 that holds m0 and m3 joins
    And a server of v1 that holds m0 drains
    And the pool gets requests that wait for m1, m2, m4 and m5
    And 8.0 s pass without requests
    Then m0 is held at v1

  Scenario: both copies of a version were evicted in one step while its streams ran
    Given servers of v1 hold m0 and m1, m0 and m2, each with room for 2 models
    And 10 streams of m0 run at v1
    When 1 server of v1.1 that holds m0 and m3 joins
    And the pool gets requests that wait for m1, m2, m4 and m5
    And 8.0 s pass without requests
    Then m0 was held at v1 after each step

  Scenario: the loaded copy of a version was evicted while its second copy was still loading
    Given servers of v1 hold m0 and m1, m2 and m3, each with room for 2 models
    And 10 streams of m0 run at v1
    When 1 server of v1.1 that holds m0 and m4 joins
    And 1.0 s pass without requests
    Then m0 is being loaded at v1
    When the pool gets requests that wait for m1, m4, m5 and m6
    And 8.0 s pass without requests
    Then m0 was held at v1 after each step

  Scenario: copies that streams need were evicted for models loaded ahead of requests
    Given servers of v1 hold m10 and m11, m10 and m11, each with room for 2 models
    And 10 streams of m10 run at v1
    When 1 server of v1.1 that holds m8 and m9 joins
    And the leader loads models ahead, in place of those that servers have on disk
    And 12.0 s pass without requests
    Then m10 is held by 2 servers of v1
    And m10 was not evicted

  Scenario: a version with one server left keeps the models of most streams
    Given servers of v1 hold m2 and m3, each with room for 2 models
    And 9 streams of m0 run at v1
    And 5 streams of m1 run at v1
    And 1 streams of m2 run at v1
    When 2 empty servers of v1.1 join
    And 14.0 s pass without requests
    Then m0 is held at v1
    And m1 is held at v1
    And 2 models were evicted

  Scenario: running streams cause no loads while one version serves
    Given servers of v1 hold m0 and m1, m2 and m3, each with room for 2 models
    And 10 streams of m0 run at v1
    When 6.0 s pass without requests
    Then no load was ordered

  Scenario: models that requests wait for are loaded before copies for running streams
    Given servers of v1 hold m0 and m1, m2 and m3, each with room for 2 models
    And 10 streams of m0 run at v1
    When 2 empty servers of v1.1 join
    And the pool gets requests that wait for m4 and m5
    And 1.0 s pass without requests
    Then the first 2 loads were for m4 and m5

  Scenario: a copy for overload was placed at the version that has enough copies
    Given servers of v1 hold m0 and m1, m2 and m3, each with room for 2 models
    And 10 streams of m0 run at v1
    And these streams run at s0, which has 1 slot
    When 2 empty servers of v1.1 join
    And 6.0 s pass with requests for m0
    Then m0 is held by 2 servers of v1

  Scenario: memory freed at one version was not used while a server of another version loaded the model
    Given model servers one and two of 100 GB
    And one holds a, two holds b
    And one and none run software version v1, the others v2
    When two begins to load c from the weight store at 10.0 s
    And memory at one is reserved for c at 10.0 s
    And a stream of software version v1 waits for c at 10.1 s
    Then the model c is ordered at one


  Scenario: orders went on to a server whose address another instance had taken over
    Given a leader with two empty servers, of which one is gone and its address is taken over
    When requests wait for c for 1.0 s
    Then one was sent one order, and then two was ordered to load c

  Scenario Outline: a server was taken for replaced since it lacked what an order was for
    Given a leader with a server one that holds a and answers its first order with 421, naming <named>
    When requests wait for <target> for 1.0 s
    Then the server is ordered to load <target> again, and stays usable

    Examples:
      | target | named       |
      | a/a1   | no instance |
      | a/a1   | one         |
      | c      | one         |

  Scenario Outline: a 421 for <target> that names <named> is from another instance
    Given a leader with a server one that holds a and answers its first order with 421, naming <named>
    When requests wait for <target> for 1.0 s
    Then the server is sent no further order, and is not usable

    Examples:
      | target | named       |
      | a/a1   | three       |
      | c      | three       |
      | c      | no instance |

  Scenario: running requests are reported at the version of their server, also once it is not listed
    Given a daemon with 2 requests for a and 1 for its adapter x at server one of v1
    And 1 request for a at server two of v1.1
    Then its report has 3 streams of a at v1 and 1 at v1.1
    When server one is no longer listed
    Then its report has 3 streams of a at v1 and 1 at v1.1
    When a request for a at server one ends
    Then its report has 2 streams of a at v1 and 1 at v1.1

  Scenario: running requests are reported before a second version is known
    Given a daemon with 2 requests for a and 1 for its adapter x at server one of v1
    Then its report has 3 streams of a at v1 only
