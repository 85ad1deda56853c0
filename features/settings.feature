Feature: The command line validates settings and reports errors with distinct exit statuses

  Scenario: all faults of a file are listed at once
    When check-config is run on
      """
      name = "Bad Name"
      zonne = "a"
      [limits]
      max_body_bytes = 1
      [listen]
      caller = "nowhere"
      [control]
      voters = 9
      """
    Then it exits with status 2 and prints
      | fault                   |
      | name                    |
      | zonne: unknown key      |
      | limits.max_body_bytes   |
      | bytes, at least 1024    |
      | listen.caller           |
      | control.voters          |
      | daemons, at least 1     |

  Scenario: inconsistencies between two keys are reported
    When check-config is run on
      """
      name = "daemon-1"
      [control]
      heartbeat_seconds = 5.0
      [[models]]
      name = "tutor"
      group = "nobody"
      current = "v2"
      versions = [{ name = "v1", memory_mib = 10 }]
      """
    Then it exits with status 2 and prints
      | fault                                                |
      | control: heartbeat_seconds < suspect_after_seconds   |
      | models[0].group: group nobody is not among groups    |
      | models[0].current: v2 is not among its versions      |

  Scenario: a file that is not valid TOML, and a missing file
    When check-config is run on
      """
      name =
      """
    Then it exits with status 2 and prints
      | fault      |
      | Invalid    |
    When check-config is run on a file that does not exist
    Then it exits with status 2 and prints
      | fault      |
      | No such    |

  Scenario: the example file has no faults
    When the command line runs check-config examples/small.toml
    Then it exits with status 0 and prints
      | fault     |
      | no faults |

  Scenario: check-config --explain lists each setting with its value, source, unit and range
    When the command line runs check-config examples/small.toml --explain
    Then it exits with status 0 and prints
      | fault                         |
      | bounds.lease_ms               |
      | default  milliseconds         |
      | limits.max_body_bytes         |
      | bytes, at least 1024          |
      | file                          |
      | (secret)                      |

  Scenario: operator commands report success and each kind of error
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And a site of 1 daemons and 1 engines
    When the operator's command line runs group put night-school --share=3
    Then it exits with status 0 and prints
      | fault   |
      | version |
    When the operator's command line runs group list
    Then it exits with status 0 and prints
      | fault        |
      | night-school |
      | 3.0          |
    When the operator's command line runs group put night-school --share=4 --base_version=1
    Then it exits with status 3 and prints
      | fault          |
      | ChangeConflict |
    When the operator's command line runs group get nobody
    Then it exits with status 4 and prints
      | fault          |
      | ObjectNotFound |
    When the operator's command line runs group put night-school --share=0
    Then it exits with status 2 and prints
      | fault           |
      | InvalidArgument |
    When the operator's command line runs group list --token=wrong-token
    Then it exits with status 6 and prints
      | fault            |
      | NotAuthenticated |
    When the operator's command line runs version add tutor v3 4000
    And the operator's command line runs version use tutor v3
    And the operator's command line runs model list --json
    Then it exits with status 0 and prints
      | fault           |
      | "current": "v3" |
    When the operator's command line runs status --json
    Then it exits with status 0 and prints
      | fault              |
      | "catalog_version"  |
      | "controller": true |
