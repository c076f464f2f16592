Feature: Decisions of the owner's kernel
  A kernel on a clock that the test moves, without a network.

  Scenario: Servers that were slow are called again
    Given an owner of one shard whose servers took 1400 ms for 60 calls
    When a sub-request with 570 ms left comes to the idle shard
    Then a server is called

  Scenario: Work that cannot meet its deadline is dropped before dispatch
    Given an owner of one shard whose servers took 300 ms for 60 calls
    When 40 sub-requests with 570 ms left come at once and the servers go on like that
    Then no call starts with less than 300 ms left
    And the dropped sub-requests are refused as "expired_in_queue" and did not run

  Scenario: A server's address changes while calls are in flight
    Given an owner of one shard whose servers took 100 ms for 60 calls
    When 4 calls are in flight and the table gives the servers new addresses
    And the old calls end and 20 sub-requests come
    Then no server has more calls in flight than its slots
