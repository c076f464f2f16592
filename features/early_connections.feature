Feature: Connections opened before the first query
  With at least eight cells, each instance connects in advance to the servers of the shards that it
  owns in its cell.

  Scenario Outline: The number of instances that connect to a server
    Given <instances> instances in cells of <size> and a pool of 30 shards with two servers each
    Then <count> instances connect to each server of the pool

    Examples:
      | instances | size | count |
      | 40        | 4    | 10    |
      | 6         | 1    | 0     |

  Scenario: No connections are opened to leaving servers or to pools of one shard
    Given 40 instances in cells of 4 and a pool of 1 shards with two servers each
    Then 0 instances connect to each server of the pool
