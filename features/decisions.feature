Feature: Decision functions

  Scenario: placement counts engines with unknown contents toward the replica limit
    Given engines
      | engine | memory | held          | ready         | contents unknown |
      | e1     | 10000  |               |               | no               |
      | e2     | 10000  |               |               | yes              |
    And models
      | model | memory | replicas | group |
      | a     | 4000   | 1        | g1    |
      | b     | 4000   | 2        | g1    |
    When 20 requests wait for a and 20 for b
    Then the plan loads b on e1
    And the plan does not load a

  Scenario: placement prefers an engine that has the weights cached
    Given engines
      | engine | memory | cached |
      | e1     | 10000  |        |
      | e2     | 10000  | a      |
    And models
      | model | memory | replicas | group |
      | a     | 4000   | 1        | g1    |
    When 1 requests wait for a and 0 for a
    Then the plan loads a on e2

  Scenario Outline: placement does not use an engine that is leaving
    When an engine is <listed> and its last inventory says <reported>
    Then placement may <use> it

    Examples:
      | listed            | reported    | use     |
      | listed as live    | not leaving | use     |
      | listed as live    | leaving     | not use |
      | listed as leaving | not leaving | not use |

  Scenario: replicas of one model are spread across zones
    Given engines
      | engine | zone   | memory | held | ready |
      | e1     | zone-a | 10000  | a    | a     |
      | e2     | zone-a | 20000  |      |       |
      | e3     | zone-b | 10000  |      |       |
    And models
      | model | memory | replicas | group |
      | a     | 4000   | 2        | g1    |
    When 20 requests wait for a and 0 for a
    Then the plan loads a on e3

  Scenario: placement evicts from the group with the most memory relative to its share
    Given engines
      | engine | memory | held | ready |
      | e1     | 9000   | x,y  | x,y   |
    And models
      | model | memory | replicas | group |
      | a     | 4000   | 1        | g1    |
      | x     | 4000   | 1        | g1    |
      | y     | 4000   | 1        | g2    |
    And group g1 has share 10 and group g2 has share 1
    When 1 requests wait for a and 0 for a
    Then the plan unloads y from e1

  Scenario: a busy replica is not evicted for another model
    Given engines
      | engine | memory | held | ready |
      | e1     | 5000   | x    | x     |
    And models
      | model | memory | replicas | group |
      | a     | 4000   | 1        | g1    |
      | x     | 4000   | 1        | g2    |
    When 1 requests wait for a and 1 for x
    Then the plan unloads nothing

  Scenario: the weight store's rate limit delays remote loads but not local ones
    Given engines
      | engine | memory | cached |
      | e1     | 20000  | b      |
    And models
      | model | memory | replicas | group |
      | a     | 4000   | 1        | g1    |
      | b     | 4000   | 1        | g1    |
    And no remote load may start now
    When 1 requests wait for a and 1 for b
    Then the plan loads b on e1
    And the plan does not load a

  Scenario Outline: slots are allocated by share and demand
    When an engine with <total> slots is allocated for <demand>
    Then the routers get <slots>

    Examples:
      | total  | demand                                 | slots      |
      | 8      | r1 g1 8, r2 g2 8; g1 3, g2 1           | r1 6, r2 2 |
      | 8      | r1 g1 2, r2 g2 8; g1 3, g2 1           | r1 2, r2 6 |
      | 8      | r1 g1 4, r2 g1 4; g1 1                 | r1 4, r2 4 |
      | 8      | r1 g1 0, r2 g1 0; g1 1                 | r1 4, r2 4 |

  Scenario: the fair queue serves groups in proportion to their weights and starves none
    When 400 items of group big with weight 3 and 400 of group small with weight 1 wait
    Then the first 100 served are 75 of big and 25 of small
    And a higher priority class goes first

  Scenario: the retry budget prevents retry storms
    When 1000 requests each want one retry
    Then at most 210 retries are allowed

  Scenario: a circuit opens after failures and later allows one trial request
    When a back end fails 3 consecutive times
    Then its circuit rejects requests, and after 2 s allows exactly one

  Scenario: keep-alive weighs idle cost against reload time
    Given request gaps that are mostly 5 s and sometimes 3000 s
    Then at an idle hour cost of 30 s a replica that reloads in 4 s is kept 5 to 8 s
    And at an idle hour cost of 1 s it is kept at least 3000 s
    And constant gaps of 3600 s lead to a preload before the next request

  Scenario: an inventory older than an order's response is ignored
    When an order's response arrives before an older inventory
    Then the older inventory does not make the loaded model count as absent

  Scenario: an intent for an earlier instance of an engine may be removed
    When a restarted engine is read
    Then only intents for its earlier instance may be removed

  Scenario: the failure detector's evidence
    Given a detector with a suspect timeout of 1.5 s and a gone timeout of 4 s
    Then a member is suspect after 2 s without messages and gone after 4 s
    And a refused connection marks a member as gone immediately
    And a suspect that a peer has reached does not become gone
    And a new incarnation under the same name replaces the earlier one
