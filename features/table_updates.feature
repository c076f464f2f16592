Feature: Incremental updates of the tables
  The tables of 225 shards with three servers each, from items of the users' store. An update
  rebuilds only the pools and the shards' servers that have changed.

  Scenario: One server's item changes
    Given the tables of 225 shards with 3 servers each
    When the item of one server marks it as draining
    Then that server is leaving in the tables
    And the pools without that server are the same objects as before
    And the servers of all other shards are the same objects as before

  Scenario: A server's item moves to another service, is removed and is written again
    Given the tables of 225 shards with 3 servers each
    When the item of one server names the service of another shard
    Then the other shard has 4 servers and the original shard has 2
    When the item of that server is removed
    Then the other shard has 3 servers and the original shard has 2
    When the original item of that server is written again
    Then the other shard has 3 servers and the original shard has 3

  Scenario: Successive updates give the same tables as reading all items at once
    Given the tables of 225 shards with 3 servers each
    When 200 items change one after another, with seed 5
    Then the tables are those of a store that has read all items at once
