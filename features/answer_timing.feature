Feature: When a gathered query is answered with the parts that are there
  The kernel of an entry on a clock that the test controls. The route has a goal of 60 ms, a time
  limit of 1033 ms and a minimum coverage of 85%. Delivery to callers is set to 12 ms.

  Scenario: Parts that arrive shortly before the last moment are in the answer
    Given an entry for 90 shards that times its answers and handles timers 0 ms late
    And it has answered 40 queries with 80 parts after 10 ms
    When a query gets 85 parts after 20 ms and 5 parts after 45 ms
    Then it is answered with 90 parts after at most 48 ms

  Scenario: An entry that handles timers late decides earlier
    Given an entry for 90 shards that times its answers and handles timers 10 ms late
    And it has answered 40 queries with 80 parts after 10 ms
    When a query gets 85 parts after 20 ms and 0 parts after 45 ms
    Then it is answered with 85 parts after at most 48 ms

  Scenario: A late answer waits for parts that are worth more than the delay
    Given an entry for 20 shards that times its answers and handles timers 0 ms late
    When a query gets 16 parts after 30 ms and 1 parts after 65 ms and 3 parts after 80 ms
    Then it is answered with 20 parts after at most 80 ms

  Scenario: A late answer does not wait for parts that do not come
    Given an entry for 20 shards that times its answers and handles timers 0 ms late
    When a query gets 16 parts after 30 ms and 1 parts after 65 ms
    Then it is answered with 17 parts after at most 150 ms
