Feature: The checks of the soak find each kind of fault, in made records without processes

  Scenario Outline: <what> is found by the check "<check>"
    Given the record of a soak in which <what>
    Then only the check "<check>" finds it

    Examples: faults
      | what                                                       | check       |
      | a stream is cut at a running daemon                        | unanswered  |
      | a stream is cut while its server is suspended              | unanswered  |
      | a stream is cut within a second of SIGTERM                 | unanswered  |
      | a request on a new connection has no reply                 | unanswered  |
      | a pipelined request behind a whole reply has no reply      | unanswered  |
      | a request that has run has no reply when its time is over  | unanswered  |
      | a request on a permanent route is answered with 404        | denied      |
      | a stream has events of two versions                        | joined      |
      | a stream lacks an event                                    | disordered  |
      | a stream repeats an event                                  | disordered  |
      | a stream is complete before its last event                 | early end   |
      | a request that cannot be repeated ran twice                | repeated    |
      | a request that cannot be repeated ran although refused     | repeated    |
      | two servers work on a stream for a second                  | concurrent  |
      | a stream is cut after a move from a paused server to one that fails | unanswered |
      | a stream is cut that its server had before it failed new ones | unanswered |

  Scenario Outline: nothing is found when <what>
    Given the record of a soak in which <what>
    Then no check finds anything

    Examples: what is allowed
      | what                                                       |
      | a stream is cut as its daemon is killed                    |
      | a stream is cut at a daemon that was suspended             |
      | a stream is cut as its server is killed                    |
      | a stream is cut at the end of the grace period             |
      | a stream is cut when its time is over                      |
      | a request reaches no daemon                                |
      | a request on a connection that rested for long has no reply |
      | a request that can be repeated ran twice                   |
      | a server that is left is suspended for a second            |
      | a stream is cut that only ran at a server that fails       |
