Feature: Rate limit of cold servers over all instances
  The owners of several instances run on a simulated clock; calls take different times to arrive. A
  cold server that receives more requests in any second than its service states crashes. Guards
  against more requests than that, and against a server that receives none although it may.

  Scenario Outline: A cold server receives no more requests than stated from all instances
    Given <count> instances in cells of <size> and servers that bear <rate> requests per second when cold
    When server "a" becomes cold for 20 s
    And each instance receives <queries> queries per second for 8 s
    Then no server that is cold receives more than <most> requests in any second
    And server "a" receives at least <least> requests
    And no query is refused

    Examples:
      | count | size | rate | queries | most | least |
      | 6     | 1    | 20   | 40      | 35   | 60    |
      | 12    | 3    | 20   | 20      | 35   | 60    |
      | 24    | 1    | 4    | 12      | 11   | 20    |
      | 24    | 4    | 4    | 12      | 11   | 8     |

  Scenario: Instances on both sides of a partition share the rate as before
    Given 12 instances in cells of 3 and servers that bear 20 requests per second when cold
    When the instances are cut into two halves
    And server "a" becomes cold for 20 s
    And each instance receives 20 queries per second for 8 s
    Then no server that is cold receives more than 35 requests in any second
    And server "a" receives at least 40 requests

  Scenario: A change of the cells does not let two owners use a quota
    Given 12 instances in cells of 3 and servers that bear 20 requests per second when cold
    When server "a" becomes cold for 30 s
    And each instance receives 20 queries per second for 4 s
    And the cells become cells of 4, at one instance after the other within 1 s
    And each instance receives 20 queries per second for 6 s
    Then no server that is cold receives more than 35 requests in any second

  Scenario: An instance that has just started does not use quotas of others
    Given 6 instances in cells of 1 and servers that bear 20 requests per second when cold
    When server "a" becomes cold for 20 s
    And another instance starts that first knows itself and after 2 s all others
    And each instance receives 40 queries per second for 6 s
    Then no server that is cold receives more than 35 requests in any second

  # Guards against a repartitioning that leaves cold servers of new shards uncalled for seconds.
  Scenario: The cold servers of a new shard are called at once
    Given 6 instances in cells of 1 and servers that bear 20 requests per second when cold
    When the shard is replaced by one of other servers, which are cold for 20 s
    And each instance receives 4 queries per second for 1 s
    Then no server that is cold receives more than 35 requests in any second
    And no query is refused

  # Guards against cold servers that nobody calls while the instances of a fleet start one by one.
  Scenario: Instances that join do not keep the others from calling cold servers
    Given 6 instances in cells of 1 and servers that bear 20 requests per second when cold
    When 6 further instances become known to the others, one each second
    And each instance receives 40 queries per second for 2 s
    And server "a" becomes cold for 20 s
    And each instance receives 40 queries per second for 3 s
    Then no server that is cold receives more than 35 requests in any second
    And server "a" receives at least 30 requests

  Scenario: While all servers are cold, queries wait or are refused at once
    Given 6 instances in cells of 1 and servers that bear 20 requests per second when cold
    When all servers become cold for 20 s
    And each instance receives 40 queries per second for 5 s
    Then no server that is cold receives more than 35 requests in any second
    And each server receives at least 60 requests
    And some queries are refused, each within 10 ms

  Scenario Outline: The latest report of a server wins; without one it counts as cold
    Given one instance and servers that bear 20 requests per second when cold for 9 s
    When <event>
    Then server "a" is cold for <seconds> s

    Examples:
      | event                                                  | seconds |
      | nothing happens                                        | 0       |
      | the item of "a" says 4000 ms                           | 4       |
      | a response of "a" says 2500 ms                         | 2.5     |
      | the item of "a" says 4000 ms, then a response 0 ms     | 0       |
      | server "a" has started again and says nothing          | 9       |
      | server "a" has started again and says 1000 ms          | 1       |
      | server "a" is listed anew and says nothing             | 9       |
      | the item of "a" says 4000 ms and is written once more  | 4       |

  # Guards against a rate of an earlier configuration that stays in force while a server is cold.
  Scenario Outline: A change of the stated rate is in force at once
    Given one instance and servers that bear 2 requests per second when cold for 9 s
    When the item of "a" says 4000 ms
    Then 2 of 2 health checks of "a" may be sent at once
    When the service states <rate> requests per second
    Then <allowed> of 40 health checks of "a" may be sent at once

    Examples:
      | rate | allowed |
      | 1    | 4       |
      | 20   | 33      |
      | 0    | 40      |

  Scenario: Health checks count
    Given one instance and servers that bear 2 requests per second when cold for 9 s
    When the item of "a" says 4000 ms
    Then 8 of 12 health checks of "a" may be sent at once

  Scenario Outline: The template of settings takes over the bounds of the platform where they are given
    When the template is filled in with <values>
    Then a cold server of 20 requests per second bears <requests> requests in a second

    Examples:
      | values                                       | requests |
      | no bounds of cold servers                    | 20       |
      | Bounds.ColdExcess=1.5 and Bounds.ColdSlack=5 | 35       |
      | Bounds.ColdSlack=5                           | 25       |

  Scenario: A service without a rate has no limit
    Given 6 instances in cells of 1 and servers that bear 0 requests per second when cold
    When server "a" becomes cold for 20 s
    And each instance receives 40 queries per second for 4 s
    Then server "a" receives at least 100 requests

  Scenario: What is known of a server is removed with it
    Given one instance and servers that bear 20 requests per second when cold for 9 s
    When the table lists no server
    Then the state of 0 servers is kept

  Scenario: An instance that has gone is remembered for a time, however long it was known before
    Given the instances "a, b" are known at 0 s and "a" at 5000 s
    Then "a, b" are remembered at 5599 s and "a" at 5601 s
