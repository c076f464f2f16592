Feature: An accepted configuration takes effect everywhere and stays in force

  @site_three
  Scenario: An edit is in force everywhere
    When the operators publish the example's routes with the deadline of "boat-search" at 1400 ms
    Then revision 2 of "routes" is in force at instances 1 to 3

  @site_three
  Scenario: The service goes down after one instance has read an edit
    Given the instances 2 to 3 are suspended and cannot read the service
    When the operators publish the example's routes with the deadline of "boat-search" at 1400 ms
    And revision 2 of "routes" is in force at instance 1
    And the service is "down"
    And the instances 2 to 3 are resumed
    Then revision 2 of "routes" is in force at instances 1 to 3

  @site_three
  Scenario: The service comes back with an old state
    When the current state of the service is saved as its old state
    And the operators publish the example's routes with the deadline of "boat-search" at 1400 ms
    And revision 2 of "routes" is in force at instance 1
    And the service is "old"
    And the service has been read 10 more times
    Then revision 2 of "routes" is in force at instances 1 to 3
    And no instance has ever put an older revision in force

  @site_three
  Scenario: An instance starts while the service is down
    When the process "node-3" is killed
    And the service is "down"
    And instance 3 is started again
    Then revision 1 of "routes" is in force at instances 1 to 3
    And eventually a query to route "boat-search" at instance 3 is answered completely

  @site_three
  Scenario: An instance starts while the service serves an old state
    When the current state of the service is saved as its old state
    And the operators publish the example's routes with the deadline of "boat-search" at 1400 ms
    And revision 2 of "routes" is in force at instance 1
    And the service is "old"
    And the process "node-3" is killed
    And instance 3 is started again
    Then revision 2 of "routes" is in force at instances 1 to 3

  @site_three
  Scenario: A value with errors is rejected completely, and the next one is accepted
    When the operators publish the routes "[route x]\nrank = fast\npool = p\ndeadline_ms = 5"
    Then instance 1 logs the findings "rank" and "deadline_ms"
    When the operators publish the example's routes with the deadline of "boat-search" at 1400 ms
    Then revision 3 of "routes" is in force at instances 1 to 3

  @site_three
  Scenario: Concurrent edits publish the routes before their pool
    When the operators publish a route to the pool "late" and query it at instance 1
    Then the reason is "pool_not_defined" and the outcome "not_run"
    When the operators publish the pool "late" with the servers of "allocator"
    Then eventually a query to route "late-route" at instance 1 is answered completely

  @site_three
  Scenario: Two values with the same revision number
    When the operators publish two values of "routes" with the number 7 to two readers
    Then all instances have the same tables in force

  @site_three
  Scenario: A peer that resumed late sends an older value
    When the operators publish the example's routes with the deadline of "boat-search" at 1400 ms
    And revision 2 of "routes" is in force at instance 1
    And a peer sends instance 1 revision 1 of "routes" with deadline 1300 ms
    Then revision 2 of "routes" is in force at instances 1 to 3
    And no instance has ever put an older revision in force

  @site_three
  Scenario: The instance list is stale while an instance is replaced
    When the instance list is frozen
    And the process "node-2" is killed
    Then eventually a query to route "boat-search" at instance 1 is answered completely
    And eventually a query to route "boat-search" at instance 3 is answered completely
    When instance 2 is started again
    Then eventually a query to route "boat-search" at instance 2 is answered completely
