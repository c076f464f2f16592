Feature: Choice of the backend server under load
  The kernels of an instance with the policies of the users' platform, on a clock that the test
  controls, with simulated servers. Queries arrive at a constant rate.

  Scenario: A server that refuses calls immediately is avoided
    Given a shard of two servers, of which "b" refuses 60% of calls while idle
    When 400 sub-requests arrive, one every 20 ms
    Then server "b" receives at most 20% of first calls
    And at most 2% of sub-requests end without results

  Scenario: A server that fails calls after its usual latency is avoided
    Given a shard of two servers, of which "b" fails 40% of calls
    When 400 sub-requests arrive, one every 20 ms
    Then server "b" receives at most 20% of first calls
    And at most 2% of sub-requests end without results

  Scenario: A slow server is avoided
    Given a shard of two servers, of which "b" takes 8 times as long
    When 400 sub-requests arrive, one every 20 ms
    Then server "b" receives at most 10% of first calls

  Scenario: A server that does not reply is avoided
    Given a shard of two servers, of which "b" does not reply
    When 400 sub-requests arrive, one every 20 ms
    Then server "b" receives at most 10% of first calls
    And at most 2% of sub-requests end without results

  Scenario: A server that has recovered is used again
    Given a shard of two servers, of which "b" refuses 60% of calls while idle
    When 200 sub-requests arrive, one every 20 ms
    And server "b" works normally and 600 sub-requests arrive, one every 20 ms
    Then server "b" receives at least 25% of first calls

  Scenario: A server that is added again is tried although the other one is a little faster than usual
    Given a shard of two servers, of which only "b" is in the table
    When 100 sub-requests arrive, one every 20 ms
    And server "b" has 85% of its usual latency and 20 sub-requests arrive, one every 20 ms
    And both servers are in the table and 12 sub-requests arrive, one every 20 ms
    Then server "a" receives at least 5% of first calls

  Scenario: Extra calls stay within the budget
    Given a shard of two servers, of which "b" refuses 60% of calls while idle
    And a budget of 20% of calls and 8 more in 10 s
    When 600 sub-requests arrive, one every 20 ms
    Then no window of 10 s has more extra calls than the budget

  Scenario: Extra calls stay within the budget while no server is better than the other
    Given a shard of two servers, which both refuse 60% of calls while idle
    And a budget of 20% of calls and 8 more in 10 s
    When 1200 sub-requests arrive, one every 20 ms
    Then no window of 10 s has more extra calls than the budget

  Scenario Outline: The share of queries that may be hedged follows from the budget
    Given a shard of two servers, of which "b" takes 8 times as long
    And a budget of 20% of calls and 50 more in 10 s
    When 200 sub-requests arrive, one every <gap> ms
    Then the last query allows hedges for <least>% to <most>% of first calls
    And no window of 10 s has more extra calls than the budget

    Examples:
      | gap  | least | most |
      | 5    | 20    | 22   |
      | 50   | 26    | 31   |
      | 1000 | 45    | 45   |

  Scenario: Hedges stay within the share of first calls if the allowance is for retries only
    Given a shard of two servers, of which "b" takes 8 times as long
    And a budget of 5% of calls and 40 more in 10 s, the latter for retries only
    When 1000 sub-requests arrive, one every 20 ms
    Then extra calls are at most 5% of first calls
    And the last query allows hedges for 5% to 5% of first calls

  Scenario: Leaving servers are called for a grace period if no other is left
    Given a shard of two servers with a grace period of 1500 ms when they leave
    When 10 sub-requests arrive, one every 20 ms
    And the table marks both servers as leaving
    Then a sub-request 1000 ms later is sent to a server
    And a sub-request 2000 ms later is not sent to a server

  Scenario: A shard first queried after the grace period of its servers is not called
    Given a shard of two servers with a grace period of 1500 ms when they leave
    And the table marks both servers as leaving
    Then a sub-request 2000 ms later is not sent to a server

  Scenario: A refused sub-request waits for the other server if its backoff ends soon
    Given a shard of two servers, of which "b" fails 100% of calls
    When sub-requests arrive until server "b" has just failed one
    And server "a" refuses all calls and server "b" works normally
    And another sub-request arrives
    Then at most 0% of sub-requests end without results

  Scenario: A server that is listed again soon is tried although it was slow before
    Given a shard of two servers with a grace period of 3000 ms when they leave
    And server "b" takes 8 times as long
    When 200 sub-requests arrive, one every 20 ms
    And the table lists only server "a" and 20 sub-requests arrive, one every 20 ms
    And server "b" works normally
    And both servers are in the table and 12 sub-requests arrive, one every 50 ms
    Then server "b" receives at least 5% of first calls
