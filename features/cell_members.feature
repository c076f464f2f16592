@fleet_cell
Feature: A cell that loses a member
  Three instances of one zone share the calls to the backend servers; each calls those of
  some shards for all of them.

  Scenario: Calls are shared
    When callers find 12 things at the instances 1 to 3
    Then all statuses are 200
    And all answers name 4 parts

  Scenario: A member that is killed costs no answer
    When callers find 40 things at the instances 1 to 2 while instance 3 is killed
    Then all statuses are 200
    And at least 36 answers name 4 parts
    And no answer took longer than 1500 ms

  Scenario: A member that stands still costs a stand-by, not the answer
    When callers find 40 things at the instances 1 to 2 while instance 3 stands still
    Then all statuses are 200
    And all answers name 4 parts
    And no answer took longer than 600 ms
    And no server ran a shard's call of one request more than twice

  Scenario: A caller that leaves ends the work of the other members
    Given the servers work for 1500 ms
    When the caller searches for "b" at instance 2 and disconnects after 100 ms
    Then the servers' work on it ends within 500 ms
