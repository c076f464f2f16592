Feature: Connections that are opened ahead
  Where many cells call the same servers, each instance connects to its share before there is work.

  Scenario Outline: Who connects to which servers
    Given <instances> instances in cells of <size> and a pool of 30 shards with two servers each
    Then each server of the pool is connected to by <count> instances

    Examples:
      | instances | size | count |
      | 40        | 4    | 10    |
      | 6         | 1    | 0     |

  Scenario: Servers that leave, and pools of one shard, are left out
    Given 40 instances in cells of 4 and a pool of 1 shards with two servers each
    Then each server of the pool is connected to by 0 instances
