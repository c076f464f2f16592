Feature: Limits on the calls of all instances of a cell together
  A simulation of the kernels of five instances on one clock. A seed determines the faults of
  streams and servers: on average every fifth server is slow, calls are refused or their replies
  lost, instances are suspended for up to 300 ms, and streams end and lose the messages in transit.

  Scenario Outline: The work of a shard runs on no more servers than the route allows calls per shard
    Given a cell of 5 instances and a route of <calls> calls per shard, with seed <seed>
    When callers send 150 queries to 12 shards
    Then all queries are answered
    And the work of no shard ran on more than <calls> servers

    Examples:
      | seed | calls |
      | 0    | 2     |
      | 1    | 2     |
      | 2    | 2     |
      | 4    | 2     |
      | 5    | 2     |
      | 6    | 1     |
      | 7    | 2     |
      | 8    | 3     |

  Scenario Outline: Extra calls of all instances together stay within the budget of a shard
    Given a cell of 5 instances and a budget of 20% of the calls and <more> more in 10 s, with seed <seed>
    And on average every second server is slow and the replies to 10% of the calls are lost
    When callers send 900 queries to 4 shards
    Then all queries are answered
    And no window of 10 s has more extra calls to a shard than that budget
    And at least one shard has used a quarter of that budget

    Examples:
      | seed | more |
      | 1    | 10   |
      | 2    | 60   |

  Scenario: Limits are divided by the instances of both sides of a network partition
    Given limits are divided by the largest number of known instances within 600 s
    When 90 instances are known
    And 30 instances are known 200 s later
    Then limits are divided by 90
    When 30 instances are known 500 s later
    Then limits are divided by 30
    When 91 instances are known 1 s later
    Then limits are divided by 91
