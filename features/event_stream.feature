Feature: The end of an event stream tells whether it is whole

  Scenario Outline: a stream that ends with <name>
    When a stream ends with the bytes <tail>
    Then <count> events have passed, the last one with id <last>
    And the stream <verdict>

    Examples:
      | name                      | tail                              | count | last | verdict   |
      | a whole event             | id: 1\ndata: a\n\n                | 1     | 1    | is whole  |
      | half an event             | id: 1\ndata: a\n\nid: 2\nda       | 1     | 1    | broke off |
      | an event without its end  | id: 1\ndata: a\n\nid: 2\ndata: b\n | 1    | 1    | broke off |
      | nothing but half an event | id: 1                             | 0     | none | broke off |
      | another blank line        | id: 1\ndata: a\n\n\n              | 1     | 1    | is whole  |
      | a comment                 | id: 1\ndata: a\n\n: bye\n         | 1     | 1    | is whole  |
      | lines that end in CR LF   | id: 1\r\ndata: a\r\n\r\n          | 1     | 1    | is whole  |
      | lines that end in CR      | id: 1\rdata: a\r\rid: 2\r\r       | 2     | 2    | is whole  |
