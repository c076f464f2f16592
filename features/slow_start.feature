Feature: Slow start of backend servers that start or recover
  Owners of twelve cells send queries to shards of three servers on a simulated clock. The servers
  of one availability zone go and return. Without slow start they are flooded or left idle, and
  the gathered queries that touch them are late.

  Scenario Outline: Servers that return cold are called little and make few queries late
    When the servers of a zone return as in "<scenario>"
    Then they receive at most <first>% of their usual load in the first second
    And at most <late>% of queries are late
    And they have their usual load after at most <seconds> s

    Examples:
      | scenario                       | first | late | seconds |
      | unlisted, returns cold for 8 s | 40    | 11   | 14      |
      | the same, reports no pace      | 40    | 11   | 14      |

  Scenario: Servers that return warm are not left idle
    When the servers of a zone return as in "fails, returns warm"
    Then they have their usual load after at most 5 s
    And at most 4% of queries are late

  Scenario: A server that fails once keeps a part of its load
    Given a server that starts slowly after 1 failure
    Then its share is 30% at once and 100% after 2 calls of usual latency

  Scenario: A server that fails again and again receives probe calls
    Given a server that starts slowly after 9 failures
    Then its share is 10% at once and 100% after 4 calls of usual latency

  Scenario: The share falls with slow calls, refusals and reported load
    Given a server that starts slowly after 1 failure
    Then its share falls after each of
      | latency ratio | load      |
      | 3.0           |           |
      | 1.0           | 2,4,2,100 |
      | 1.0           | 1,0,2,300 |

  Scenario: The same queries try all servers that start
    Then a share of 20% of 3 servers lets 8% to 11% of queries through, the same for all servers

  # Guards against a server of a shard with little traffic that waits long for its first call.
  Scenario Outline: A server that starts may receive a first call soon, whatever the queries
    Given a server of 2 slots that is added, and <cells> cells
    Then a query that its share leaves out is the first that it may receive after <count> others

    Examples:
      | cells | count |
      | 2     | 0     |
      | 3     | 10    |

  Scenario: Slow start is off by default
    Then a server that is added receives its usual load without the setting
