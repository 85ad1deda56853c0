Feature: Only loads from the weight store take a place there

  Scenario: a server that still unloads a model takes the place of a load
    Given model servers one and two of 100 GB
    And one holds a and b, two holds c and d
    When one is ordered to unload a at 10.0 s, and nobody uses it
    And one refuses an order to load e at 10.2 s, since another order is under way
    And a report of one at 10.3 s shows that it is busy, at revision 1
    Then no load from the weight store is in progress at 10.3 s
    And one is known to unload a

  Scenario: a model waits for an unload that waits for its runs although another server can load it
    Given model servers one and two of 100 GB
    And one holds a and b, two holds nothing
    When one is ordered to unload a at 10.0 s, and somebody uses it
    And the memory is reserved for e at 10.0 s at one
    And a caller of e waits at 12.0 s
    Then no load from the weight store is in progress at 12.0 s
    And the plan loads e at 1 server, as wanted

  Scenario: callers are told the same time again and again while an unload waits for its runs
    Given model servers one and two of 100 GB
    And one holds a and b, two holds nothing
    And two has a copy of d on its disk and loads g until 30.0 s
    When one is ordered to unload a at 10.0 s, and somebody uses it
    And the memory is reserved for e at 10.0 s at one
    And a caller of e waits at 16.0 s
    Then e is not expected before 22.0 s

  Scenario: a load that was not answered takes no place, or an unload that was not answered takes one
    Given model servers one and two of 100 GB
    And one holds a and b, two holds c and d
    When one leaves an order to unload a unanswered at 10.0 s, at revision 0
    And two leaves an order to load e unanswered at 10.0 s, at revision 0
    And a report of one at 10.3 s shows that it is busy, at revision 1
    And a report of two at 10.3 s shows that it is busy, at revision 1
    Then only two loads from the weight store at 10.3 s

  Scenario: a load is lost whose answer arrives after a report that shows it
    Given model servers one and two of 100 GB
    And one holds a and b, two holds nothing
    When two is sent an order to load e, is reported busy at 10.3 s, and accepts the order at 10.4 s
    Then only two loads from the weight store at 10.4 s
    And two is known to load e

  Scenario: a new leader takes an unload of the previous one for a load
    Given model servers one and two of 100 GB
    And one holds a and b, two holds c and d
    When one is ordered to unload a at 10.0 s, and nobody uses it
    And another leader learns of it, and reads at 10.3 s that one is busy
    Then no load from the weight store is in progress at 10.3 s

  Scenario: a load that has ended is taken for a slow one when an older report comes after its end
    Given model servers one and two of 100 GB
    And one holds a and b, two holds nothing
    When two begins to load e from the weight store at 10.0 s
    And a report of two at 14.3 s shows that it is done, at revision 1
    And a report of two at 16.0 s shows that it is busy, at revision 1
    And a report of two at 18.0 s shows that it is done, at revision 1
    Then one load of 4 s has ended

  Scenario: a server that executes an order of which nothing is known may load from the weight store
    Given model servers one and two of 100 GB
    And one holds a and b, two holds c and d
    When a report of one at 10.3 s shows that it is busy, at revision 1
    Then only one loads from the weight store at 10.3 s

  Scenario: a further order of another leader is taken for the last one that is known
    Given model servers one and two of 100 GB
    And one holds a and b, two holds c and d
    When one is ordered to unload a at 10.0 s, and nobody uses it
    And a report of one at 10.3 s shows that it is busy, at revision 2
    Then only one loads from the weight store at 10.3 s
