Feature: A change costs what has changed
  The tables of 225 shards with three servers each, joined on the users' platform.

  Scenario: One server's entry changes
    Given the tables of 225 shards with 3 servers each
    When the entry of one server says that it leaves
    Then that server is leaving in the tables
    And the pools without that server are the same objects as before
    And the servers of all other shards are the same objects as before

  Scenario: A server's entry moves to another service, goes and comes back
    Given the tables of 225 shards with 3 servers each
    When the entry of one server names the service of another shard
    Then the other shard has 4 servers and its own one has 2
    When the entry of that server is removed
    Then the other shard has 3 servers and its own one has 2
    When the entry of that server is written as at first
    Then the other shard has 3 servers and its own one has 3

  Scenario: Changes one after the other give the same tables as all at once
    Given the tables of 225 shards with 3 servers each
    When 200 entries change one after the other, by seed 5
    Then the tables are those of a store that has read all entries at once
