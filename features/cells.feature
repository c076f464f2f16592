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

  Scenario Outline: Instances of a small capacity form larger cells
    Given tables with 87 shards, 120 connections per server and a latency goal of 59 ms
    Then the cells of 195 instances of <capacity> cores each have <size> instances each

    Examples:
      | capacity | size |
      | 1.0      | 5    |
      | 0.5      | 10   |
      | 2.0      | 4    |

  Scenario: Cells get equal parts of the instances of a large capacity
    Given 36 instances in 1 zone, of which 4 have 2.0 cores and the others 0.5
    Then each of the 4 cells of size 9 has 1 instance of 2.0 cores
    And each instance of a cell sees the same cell

  Scenario: Instances own shards in proportion to their capacity
    Given a cell of 9 instances, of which one has 2.0 cores and the others 0.5
    Then of 3000 shards that instance owns 30% to 37%
    And shards move only to or from an instance whose capacity changes

  Scenario: An instance that goes leaves the other cells as they are
    Given 40 instances in 1 zone, of which 4 have 2.0 cores and the others 0.5
    When 3 instances are lost one after another
    Then the others are in the same cells of size 8 as before, without those
    When the 3 instances are back
    Then all are in the same cells of size 8 as before
    When 20 instances are lost one after another
    Then the others are in cells of size 8 of 6 to 10 instances

  Scenario: All instances of a zone see the same cells
    Given 30 instances in 3 zones
    Then cells of size 4 have 3 to 5 instances, all of one zone
    And each instance of a cell sees the same cell
