Feature: Scheduling of calls by the owner
  The kernel of an owner on a clock that the test controls, without a network.

  Scenario: Servers that were slow are called again
    Given an owner of one shard whose servers replied to 60 calls after 1400 ms each
    When a sub-request with 570 ms left arrives while the shard is idle
    Then a server is called

  Scenario: A sub-request that cannot meet its deadline is dropped before dispatch
    Given an owner of one shard whose servers replied to 60 calls after 300 ms each
    When 40 sub-requests with 570 ms left arrive at once and the servers' latency stays the same
    Then no call starts with less than 300 ms left
    And the dropped sub-requests are refused as "expired_in_queue" and did not run

  Scenario: A server's address changes while calls are in flight
    Given an owner of one shard whose servers replied to 60 calls after 100 ms each
    When 4 calls are in flight and the servers have new addresses in a new table
    And these calls end and 20 sub-requests arrive
    Then no server has more calls in flight than its slots
