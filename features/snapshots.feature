Feature: Every answer comes from one snapshot
  Index versions change and shards are repartitioned while queries run; the boundaries
  between the stand-ins' shards move with each snapshot.

  @site_three
  Scenario: A new snapshot is added to one server after another
    Given callers keep sending requests to route "boat-search" at instances 1 and 2
    When each server of "allocator" adds snapshot 2 to snapshot 1, one by one
    And each server of "allocator" drops snapshot 1, one by one
    And each server of "allocator" adds snapshot 3 to snapshot 2, one by one
    Then every answer is complete or reports correctly what is missing
    And at least 99 % of the answers are complete
    And eventually a query at instance 1 is answered from snapshot 3

  @site_three
  Scenario: All servers switch to a new snapshot and keep no old one
    Given callers keep sending requests to route "boat-search" at instances 1 and 2
    When each server of "allocator" drops all snapshots but 5, one by one
    Then every answer is complete or reports correctly what is missing
    And eventually a query at instance 1 is answered from snapshot 5

  @site_three
  Scenario: One shard has only an older snapshot
    When the servers "allocator-05-a" and "allocator-05-b" hold only snapshot 1 and all others only 2
    And the caller queries route "boat-search" at instance 1 for "double scull"
    And the caller queries route "boat-search" at instance 1 for "double scull"
    Then the reason is "snapshot_gone" and the outcome "partial"
    And the shard "allocator-05" is missing from the coverage
