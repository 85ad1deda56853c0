Feature: What is loaded and evicted follows from requests, not from the order in which models are listed

  Scenario: the same fleet and demand give the same plan, in whatever order the models are listed
    Given fleets of up to 4 model servers with some of 12 models each, and requests for some of them
    When each plan is computed again with the models listed in another order, in 300 runs
    Then no plan differs

  Scenario: a model that is requested keeps its place before one that nobody has asked for
    Given a model server that holds a model that nobody has asked for, listed first, and one requested every 20 s, listed last
    When a request waits for a model that needs the place of one of them
    Then the model that nobody has asked for is evicted

  Scenario: models before traffic are staged by the load time that a cached copy saves
    Given an idle model server, and models without any copy that take 3 s, 9 s and 6 s to load
    When no request has come yet
    Then the model that takes 9 s is staged first

  Scenario: a model with several copies before traffic keeps them while others are staged
    Given two model servers, each with a copy of a busy model, one with the only copy of another model as well
    When a model without any copy is staged
    Then the only copy of the other model is evicted for it

  Scenario Outline: a model is evicted if its callers wait less for it than the others would for another load, <rate> requests a second
    Given model servers one and two of 50 GB
    And one holds a, two holds nothing
    And one has a copy of c on its disk as well
    When a gets <rate> requests a second at 10.0 s, and a request waits for c
    Then c is loaded at <server>

    Examples:
      | rate | server |
      | 0.15 | one    |
      | 1.5  | two    |
