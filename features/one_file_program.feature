Feature: The one-file program behaves like the source tree
  Scenario: The built program serves a query end to end
    Given the one-file program has been built
    And a deployment of it runs
    When the caller queries route "slot-finder" at instance 2 for "coxed four"
    Then the outcome is "answered"
    And all 20 shards are covered from one snapshot
    And each instance is one process
