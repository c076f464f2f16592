Feature: Every answer comes from one snapshot
  Index versions change and shards are repartitioned while queries run; the boundaries
  between the stand-ins' shards move with each snapshot.

  @site_three
  Scenario: A new snapshot comes to one server after the other
    Given callers keep asking route "boat-search" at instances 1 and 2
    When each server of "allocator" gets snapshot 2 beside snapshot 1, one by one
    And each server of "allocator" drops snapshot 1, one by one
    And each server of "allocator" gets snapshot 3 beside snapshot 2, one by one
    Then every answer is whole or says truly what is missing
    And at least 99 % of the answers are whole
    And in the end a question at instance 1 is answered from snapshot 3

  @site_three
  Scenario: All servers jump to a new snapshot and keep no old one
    Given callers keep asking route "boat-search" at instances 1 and 2
    When each server of "allocator" drops all snapshots but 5, one by one
    Then every answer is whole or says truly what is missing
    And in the end a question at instance 1 is answered from snapshot 5

  @site_three
  Scenario: One shard stays behind
    When the servers "allocator-05-a" and "allocator-05-b" hold only snapshot 1 and all others only 2
    And the caller asks route "boat-search" at instance 1 for "double scull"
    And the caller asks route "boat-search" at instance 1 for "double scull"
    Then the reason is "snapshot_gone" and the outcome "partial"
    And the shard "allocator-05" is missing from the coverage
