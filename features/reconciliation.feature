Feature: Comparisons of tables while many values change
  Guards against comparisons that fill the links of instances with lists of revisions while the
  servers of a repartitioned index register, so that queries and configurations wait behind them.

  Scenario: Server items that change one after another cause few lists of revisions
    Given 8 connected instances with 600 server items, and messages that take 20 ms
    When 100 server items change each second for 6 s
    Then each instance has sent at most 1 list of revisions each second, all keys of its tables counted as one
    And after 3 more seconds all instances have the same tables

  Scenario: A value that an instance missed is found while others change
    Given 8 connected instances with 600 server items, and messages that take 20 ms
    When an instance misses a change, and 100 server items change each second for 6 s
    Then that instance has the change after at most 5 s
