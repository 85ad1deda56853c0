Feature: All daemons apply a configuration version in time, whichever of them can reach the store

  Scenario Outline: a stored version is active everywhere within the bound: <fault>
    Given a fleet of <daemons> daemons with <mirrors> mirrors and a bound of <bound> s
    When <fault>, and configuration versions are written <pace>, in each of 4 runs
    Then each daemon that can learn of a version has applied it, or a later one, within the bound

    Examples: fleets and faults
      | daemons | mirrors | bound | pace              | fault                                                    |
      | 9       | 3       | 2.0   | several a second  | the store does not respond to four fifths of the daemons |
      | 9       | 3       | 2.0   | every few seconds | the store does not respond to a third of the daemons     |
      | 9       | 3       | 2.0   | every few seconds | gossip is lost                                           |
      | 65      | 3       | 3.0   | several a second  | the store refuses the calls of a third of the daemons    |
      | 65      | 3       | 3.0   | every few seconds | the store does not respond to any mirror                 |
      | 65      | 3       | 3.0   | every few seconds | the feeds stall for 1 s and lose their history           |
      | 65      | 3       | 3.0   | every few seconds | the mirrors and a third of the daemons are down          |
      | 195     | 7       | 4.0   | several a second  | the store does not respond to four fifths of the daemons |
      | 9       | 3       | 2.0   | every few seconds | the store drops its pending calls                        |
      | 195     | 7       | 4.0   | every few seconds | gossip is lost                                           |
