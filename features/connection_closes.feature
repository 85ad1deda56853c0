Feature: The log and the metrics say who closed a caller's connection, and why

  Scenario Outline: a connection that ends as <cause> is counted, and has a line
    Given a daemon whose callers' connections end as <cause>
    When the connection of a caller has ended
    Then the metrics count one close by <by> for <reason>
    And one line says that <by> closed it for <reason>, with <what>

    Examples:
      | cause                                             | by     | reason             | what                         |
      | the idle timeout is over                          | server | idle-timeout       | no open request              |
      | the daemon stops listening                        | server | stopped-listening  | no open request              |
      | the daemon shuts down                             | server | shutdown           | no open request              |
      | the daemon shuts down while a request is served   | server | shutdown           | the open request             |
      | the daemon shuts down while a body is read        | server | shutdown           | the open request and 3 bytes |
      | the daemon cuts a response                        | server | response-cut       | the open request             |
      | a request cannot be read                          | server | unreadable-request | no open request              |
      | the client goes on sending a request too large    | server | linger-over        | no open request              |
      | the client resets it while a request is served    | error  | lost               | the open request             |
      | the client ends it while a request is served      | client | client-end         | the open request             |
      | the client ends it inside a head                  | client | client-end         | an open request and 9 bytes  |

  Scenario Outline: an ordinary end, <cause>, is counted, and has no line of its own
    Given a daemon whose callers' connections end as <cause>
    When the connection of a caller has ended
    Then the metrics count one close by <by> for <reason>
    And the line about closes without a line counts one by <by> for <reason>

    Examples:
      | cause                                    | by     | reason                  |
      | the client ends it while it is idle      | client | client-end              |
      | the client asks for it with its request  | server | not-reusable            |
      | a response to HTTP 1.0 has no length     | server | response-without-length |
      | the daemon drains while it serves        | server | draining                |

  Scenario: a burst of closes leaves a bounded number of lines, and a count of the others
    When 500 connections close at once in requests, and 500 idle ones
    Then at most 40 lines say so, and the summary counts all others
    And the metrics count 1000 closes

  Scenario: bytes that had arrived when a connection was closed are named
    When a daemon aborts a connection with 5 bytes that it has not read
    Then its line says that 5 bytes were unread
