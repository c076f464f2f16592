Feature: The logs tell why another owner was asked, and what owners told
  An entry's kernel with its journal, on a clock that the test moves.

  Background:
    Given an entry in a cell of three instances and a query to 30 shards
    And the journal of that entry's decisions

  Scenario: A request whose shards may have been called more often than the route allows
    When all owners but "i-3" answer at once
    And 80 ms pass
    And the entry allows their stand-bys a call too many
    And the stand-bys answer
    Then the log says "asked again" with the reason "owner_silent" for each of those shards
    And the log warns "more calls than the route allows" for each of those shards
    And as many shards are counted as called too often

  Scenario: A request that was answered as usual is not reported
    When all owners answer at once
    Then the log holds no warning
    And no shard is counted as called too often
