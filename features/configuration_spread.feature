Feature: All daemons put a version of the configuration in force in time, whomever the store serves

  Scenario Outline: a confirmed version is in force everywhere within the bound: <trouble>
    Given a fleet of <daemons> daemons, <mirrors> of them mirrors, under a bound of <bound> s
    When <trouble>, and versions of the configuration come <pace>, in each of 4 plays
    Then each daemon that has a way to know has each version, or a later one, in force in time

    Examples: fleets and troubles
      | daemons | mirrors | bound | pace             | trouble                                               |
      | 9       | 3       | 2.0   | several a second | the store is silent to four fifths of the daemons     |
      | 9       | 3       | 2.0   | now and then     | the store is silent to a third of the daemons         |
      | 9       | 3       | 2.0   | now and then     | gossip is lost                                        |
      | 65      | 3       | 3.0   | several a second | the store refuses a third of the daemons              |
      | 65      | 3       | 3.0   | now and then     | the store is silent to all mirrors                    |
      | 65      | 3       | 3.0   | now and then     | the feeds hear nothing for 1 s and lose their history |
      | 65      | 3       | 3.0   | now and then     | a third of the daemons is gone, the mirrors first     |
      | 195     | 7       | 4.0   | several a second | the store is silent to four fifths of the daemons     |
      | 9       | 3       | 2.0   | now and then     | the store loses the questions that it holds           |
      | 195     | 7       | 4.0   | now and then     | gossip is lost                                        |
