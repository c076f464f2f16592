Feature: What backend servers say about themselves
  A server that says that it is leaving receives no new calls, whatever the table says, until it
  has started again. A server that asks to wait receives no calls for that time. The kernels run on
  a clock that the test controls.

  Scenario Outline: A server that says that it is leaving receives no further calls
    Given a shard of two servers, of which "b" says in <responses> that it is leaving
    When 400 sub-requests arrive, one every 20 ms
    Then server "b" has received at most 2 calls
    When the table lists both servers again and 100 sub-requests arrive, one every 20 ms
    Then server "b" has received 0 calls
    When the table lists a later start of both servers and 100 sub-requests arrive, one every 20 ms
    Then server "b" has received at least 10 calls

    Examples:
      | responses |
      | answers   |
      | failures  |
      | refusals  |

  Scenario: A leaving server is known although the table has ceased to list it meanwhile
    Given a shard of two servers, of which "b" says in answers that it is leaving
    When 50 sub-requests arrive, one every 20 ms
    And the table lists server "a" only and 50 sub-requests arrive, one every 20 ms
    And the table lists both servers again and 100 sub-requests arrive, one every 20 ms
    Then server "b" has received 0 calls

  Scenario: A server that says in a health check that it is leaving receives no calls
    Given a shard of two servers, of which "b" says in answers that it is leaving
    When server "b" answers a health check
    And 50 sub-requests arrive, one every 20 ms
    Then server "b" has received at most 0 calls

  Scenario: The other instances of the cell learn that a server is leaving
    Given a cell of 3 instances and a shard of two servers, of which "b" says in answers that it is leaving
    When server "b" answers a health check
    Then the 2 other instances are told that "b" is leaving
    And an instance that was told calls server "b" 0 times in 50 sub-requests

  Scenario: A server that asks to wait receives at most two calls in that time
    Given a shard of two servers, of which "b" refuses calls and asks to wait for 3000 ms
    When 140 sub-requests arrive, one every 20 ms
    Then server "b" has received at most 2 calls
    And at most 1% of sub-requests end without results
    When server "b" works normally and 200 sub-requests arrive, one every 20 ms
    Then server "b" receives at least 5% of first calls

  Scenario: Queries are refused at once while all servers ask to wait
    Given a shard of two servers, which refuse calls and ask to wait for 3000 ms
    When 100 sub-requests arrive, one every 20 ms
    Then each server has received at most 2 calls
    And the last answer came within 1 ms and names a wait of 500 ms to 3000 ms

  Scenario Outline: Load, leaving and wait are read from the headers of any response
    When a response with status <status> has the header "<name>" with the value "<value>"
    Then the report has <field> <expected>

    Examples:
      | status | name           | value           | field        | expected |
      | 200    | X-Backend-Load | 3,1,8           | pace_percent | 100      |
      | 200    | X-Backend-Load | 3,1,8,250       | pace_percent | 250      |
      | 500    | X-Backend-Load | 3, 1, 8, 250, x | waiting      | 1        |
      | 503    | x-backend-load | 3,1,8,90        | running      | 3        |
      | 200    | X-Backend-Load | 3,1             | load         | None     |
      | 200    | X-Backend-Load | 3,-1,8          | load         | None     |
      | 200    | Server-Leaving | 1               | is_leaving   | True     |
      | 503    | server-leaving | 1               | is_leaving   | True     |
      | 200    | Server-Leaving | 0               | is_leaving   | False    |
      | 503    | Retry-After    | 2.5             | wait_seconds | 2.5      |
      | 503    | Retry-After    | 1e300           | wait_seconds | 1e+300   |
      | 503    | Retry-After    | -3              | wait_seconds | 0.0      |
      | 503    | Retry-After    | soon            | wait_seconds | 0.0      |
      | 503    | Retry-After    | nan             | wait_seconds | 0.0      |
      | 200    | Retry-After    | 3               | wait_seconds | 0.0      |
      | 200    | X-Cold-Ms      | 2500            | cold_ms      | 2500     |
      | 503    | x-cold-ms      | 0               | cold_ms      | 0        |
      | 200    | X-Cold-Ms      | -1              | cold_ms      | None     |
      | 200    | X-Cold-Ms      | 1e9             | cold_ms      | None     |

  Scenario: The state of services that the tables no longer define is discarded
    Given the shards of an owner and their budgets, after work for 40 services in turn
    When the tables define only the last of the services and 20 s pass
    Then there is state for at most 1 service
