Feature: Overload of servers that must not reject many, beside restarts, pauses and crashes

  All scenarios judge one soak.

  Background:
    Given a soak of overload with 4 daemons for 9 s, seed 53, or as given

  Scenario: servers rarely fall over
    Then servers of the soak fell over no more often than is allowed

  Scenario: every rejected request may come back at a given time
    Then every rejected request of the soak has a time to come back

  Scenario: daemons run until they get a signal
    Then no daemon of the overload ended by itself
