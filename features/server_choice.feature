Feature: Choice of the backend server under load patterns
  The kernels of an instance with the policies of the users' platform, on a clock that the test
  moves, against servers that behave as the table says. Queries come at a steady pace.

  Scenario: A server that refuses at once is left alone
    Given a shard of two servers, of which "b" refuses 60 of 100 calls without load
    When 400 sub-requests come, one each 20 ms
    Then server "b" gets at most 20 of 100 first calls
    And at most 2 of 100 sub-requests end without results

  Scenario: A server that fails after a while is left alone
    Given a shard of two servers, of which "b" fails 40 of 100 calls
    When 400 sub-requests come, one each 20 ms
    Then server "b" gets at most 20 of 100 first calls
    And at most 2 of 100 sub-requests end without results

  Scenario: A slow server is left alone
    Given a shard of two servers, of which "b" takes 8 times as long
    When 400 sub-requests come, one each 20 ms
    Then server "b" gets at most 10 of 100 first calls

  Scenario: A server that does not answer is left alone
    Given a shard of two servers, of which "b" answers nothing
    When 400 sub-requests come, one each 20 ms
    Then server "b" gets at most 10 of 100 first calls
    And at most 2 of 100 sub-requests end without results

  Scenario: A server that has recovered is used again
    Given a shard of two servers, of which "b" refuses 60 of 100 calls without load
    When 200 sub-requests come, one each 20 ms
    And server "b" behaves again and 600 sub-requests come, one each 20 ms
    Then server "b" gets at least 25 of 100 first calls

  Scenario: A server that is back is tried although the other one is a little faster than usual
    Given a shard of two servers, of which only "b" is in service
    When 100 sub-requests come, one each 20 ms
    And server "b" takes 85 of 100 parts of its time and 20 sub-requests come, one each 20 ms
    And both servers are in service and 12 sub-requests come, one each 20 ms
    Then server "a" gets at least 5 of 100 first calls

  Scenario: Extra calls stay within the budget
    Given a shard of two servers, of which "b" refuses 60 of 100 calls without load
    And a budget of 20 of 100 calls and 8 more in 10 s
    When 600 sub-requests come, one each 20 ms
    Then no 10 s have more extra calls than the budget

  Scenario: Extra calls stay within the budget while no server is better than the other
    Given a shard of two servers, which both refuse 60 of 100 calls without load
    And a budget of 20 of 100 calls and 8 more in 10 s
    When 1200 sub-requests come, one each 20 ms
    Then no 10 s have more extra calls than the budget

  Scenario Outline: Second calls are planned for as far as the budget reaches
    Given a shard of two servers, of which "b" takes 8 times as long
    And a budget of 20 of 100 calls and 50 more in 10 s
    When 200 sub-requests come, one each <gap> ms
    Then second calls are planned for <least> to <most> of 100 first calls in the end
    And no 10 s have more extra calls than the budget

    Examples:
      | gap  | least | most |
      | 5    | 20    | 22   |
      | 50   | 26    | 31   |
      | 1000 | 45    | 45   |

  Scenario: Hedges stay within the share of first calls where the allowance is for retries
    Given a shard of two servers, of which "b" takes 8 times as long
    And a budget of 5 of 100 calls and 40 more in 10 s, which is for retries
    When 1000 sub-requests come, one each 20 ms
    Then at most 5 of 100 first calls had an extra one
    And second calls are planned for 5 to 5 of 100 first calls in the end

  Scenario: Servers that leave are called for a moment where no other is left
    Given a shard of two servers with a grace of 1500 ms for those that leave
    When 10 sub-requests come, one each 20 ms
    And the table takes both servers out of service
    Then a sub-request 1000 ms later is called
    And a sub-request 2000 ms later is not called

  Scenario: A shard that is first asked for after its servers have left is not called
    Given a shard of two servers with a grace of 1500 ms for those that leave
    And the table takes both servers out of service
    Then a sub-request 2000 ms later is not called
