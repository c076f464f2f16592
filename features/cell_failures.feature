@fleet_cell
Feature: Failure of an instance of a cell
  Three instances of one zone share the calls to the backend servers. Each owns some of the shards
  and calls their servers for all three.

  Scenario: Searches at any instance of the cell are answered completely
    When callers send 12 searches to the instances 1 to 3
    Then all statuses are 200
    And all answers contain 4 parts

  Scenario: All requests are answered when an instance of the cell is killed
    When callers send 40 searches to the instances 1 to 2 while instance 3 is killed
    Then all statuses are 200
    And at least 36 answers contain 4 parts
    And no answer took longer than 1500 ms

  Scenario: Stand-bys complete the answers when an instance of the cell is suspended
    When callers send 40 searches to the instances 1 to 2 while instance 3 is suspended
    Then all statuses are 200
    And all answers contain 4 parts
    And no answer took longer than 600 ms
    And the work of no shard ran more than twice for one request

  Scenario: Work at the other instances ends when the caller disconnects
    Given the servers work for 1500 ms
    When the caller searches for "b" at instance 2 and disconnects after 100 ms
    Then the servers' work on it ends within 500 ms
