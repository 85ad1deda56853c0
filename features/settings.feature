Feature: Settings are checked, and the command line says clearly what is wrong

  Scenario: all faults of a file are listed at once
    When check-config reads
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
    Then it exits with status 2 and names
      | fault                   |
      | name                    |
      | zonne: unknown key      |
      | limits.max_body_bytes   |
      | bytes, at least 1024    |
      | listen.caller           |
      | control.voters          |
      | daemons, at least 1     |

  Scenario: faults that take two keys to see
    When check-config reads
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
    Then it exits with status 2 and names
      | fault                                                |
      | control: heartbeat_seconds < suspect_after_seconds   |
      | models[0].group: group nobody is not among groups    |
      | models[0].current: v2 is not among its versions      |

  Scenario: a file that is no TOML, and a file that is not there
    When check-config reads
      """
      name =
      """
    Then it exits with status 2 and names
      | fault      |
      | Invalid    |
    When check-config reads a file that does not exist
    Then it exits with status 2 and names
      | fault      |
      | No such    |

  Scenario: the example is without faults
    When the command line runs check-config examples/small.toml
    Then it exits with status 0 and names
      | fault     |
      | no faults |

  Scenario: every setting is explained, with its value, source, unit and range
    When the command line runs check-config examples/small.toml --explain
    Then it exits with status 0 and names
      | fault                         |
      | bounds.lease_ms               |
      | default  milliseconds         |
      | limits.max_body_bytes         |
      | bytes, at least 1024          |
      | file                          |
      | (secret)                      |

  Scenario: the operator's command line
    Given model tutor of 4000 MiB that loads in 0.1 s, at most 1 replicas
    And a site of 1 daemons and 1 engines
    When the operator's command line runs group put night-school --share=3
    Then it exits with status 0 and names
      | fault   |
      | version |
    When the operator's command line runs group list
    Then it exits with status 0 and names
      | fault        |
      | night-school |
      | 3.0          |
    When the operator's command line runs group put night-school --share=4 --base_version=1
    Then it exits with status 3 and names
      | fault          |
      | ChangeConflict |
    When the operator's command line runs group get nobody
    Then it exits with status 4 and names
      | fault          |
      | ObjectNotFound |
    When the operator's command line runs group put night-school --share=0
    Then it exits with status 2 and names
      | fault           |
      | InvalidArgument |
    When the operator's command line runs group list --token=wrong-token
    Then it exits with status 6 and names
      | fault            |
      | NotAuthenticated |
    When the operator's command line runs version add tutor v3 4000
    And the operator's command line runs version use tutor v3
    And the operator's command line runs model list --json
    Then it exits with status 0 and names
      | fault           |
      | "current": "v3" |
    When the operator's command line runs status --json
    Then it exits with status 0 and names
      | fault              |
      | "catalog_version"  |
      | "controller": true |
