Feature: The one-file program does the same
  Scenario: The path is served end to end by the built program
    Given the one-file program has been built
    And a deployment of it runs
    When the caller asks route "slot-finder" at instance 2 for "coxed four"
    Then the outcome is "answered"
    And all 20 shards are covered from one snapshot
    And each instance is one process
