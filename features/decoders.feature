Feature: Documents that others write are decoded or rejected with the error of their layer

  Scenario Outline: the decoder of <documents> raises only its own error, whatever it reads
    When 1500 altered <documents> are decoded, seed 45
    Then each was decoded or rejected with <error>
    And each decoded one can be sent to peers

    Examples:
      | documents         | error             |
      | configurations    | MalformedDocument |
      | server entries    | MalformedDocument |
      | server reports    | MalformedDocument |
      | store responses   | StoreUnavailable  |
      | daemon rows       | MalformedDocument |
      | lease rows        | MalformedDocument |
      | software versions | MalformedVersions |
      | stream origins    | MalformedOrigins  |
      | peer frames       | BadFrame          |
      | chat bodies       | RequestRefused    |

  Scenario Outline: an entry with <defect> among those of the servers leaves all others known
    Given a store that lists s1, odd, s2 and s3, where odd has <defect>
    When a daemon reads the list and polls it 2 times
    Then it knows s1, s2 and s3
    When s4 is listed, and the daemon polls 2 times
    Then it knows s1, s2, s3 and s4

    Examples:
      | defect                      |
      | 100000 nested arrays        |
      | 100000 nested objects       |
      | a revision of 400 digits    |
      | a revision of 2 to the 70   |
      | a negative revision         |
      | no slots                    |
      | a negative number of slots  |
      | slots of 2 to the 70        |
      | a remaining time of 1e308   |
      | port 0                      |
      | port 65536                  |
      | address 999.1.1.1           |
      | invalid bytes               |

  Scenario: a row that cannot be applied is read again
    Given a store that lists s1, odd, s2 and s3, where odd has no defect
    And applying the rows of the list fails once
    When a daemon reads the list and polls it 2 times
    Then it knows odd, s1, s2 and s3

  Scenario: an error while a mirror's list is applied does not end the polling of mirrors
    Given a daemon that has 3 mirrors and is not a mirror
    And applying the first list of a mirror fails
    When it has polled the list 6 times
    Then it knows server s1
