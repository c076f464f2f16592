Feature: Assignment of instances to cells

  Scenario Outline: The size of a cell depends on the tables and the number of instances
    Given tables with <shards> shards, <connections> connections per server and a latency goal of <goal> ms
    Then the cells of <instances> instances have <size> instances each

    Examples:
      | shards | connections | goal | instances | size |
      | 20     | 25          | 56   | 6         | 1    |
      | 20     | 26          | 58   | 7         | 1    |
      | 30     | 25          | 56   | 6         | 1    |
      | 30     | 26          | 58   | 7         | 1    |
      | 1      | 25          | 56   | 6         | 1    |
      | 45     | 25          | 56   | 4         | 2    |
      | 90     | 67          | 59   | 90        | 5    |
      | 90     | 67          | 59   | 1000      | 34   |
      | 850    | 67          | 330  | 7500      | 249  |

  Scenario: All instances of a zone see the same cells
    Given 30 instances in 3 zones
    Then cells of size 4 have 3 to 5 instances, all of one zone
    And each instance of a cell sees the same cell
