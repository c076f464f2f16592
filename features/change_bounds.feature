Feature: A confirmed change is in force in time
  Within 3 s of the store's confirmation, at each instance that nothing has disturbed for 4 s, also
  while others are cut off from the store, start, die or are held up. Watchers are the instances that
  read the store, in their order.

  Scenario: Nothing is disturbed
    Given 6 instances in 3 zones, undisturbed
    When the operator adds a route and a server says that it is leaving
    Then both are in force within 3 s at the undisturbed instances

  Scenario Outline: Watchers are cut off from the store just after they have read it
    Given <instances> instances in <zones> zones, undisturbed
    And the watchers have just read the store
    When the links of the first <count> watchers to the store have the fault "<fault>"
    And the operator adds a route and a server says that it is leaving
    Then both are in force within 3 s at the undisturbed instances

    Examples:
      | instances | zones | count | fault        |
      | 6         | 3     | 1     | one_way_back |
      | 6         | 3     | 2     | one_way_back |
      | 7         | 4     | 2     | cut          |
      | 6         | 3     | 3     | cut          |

    @known_red
    Examples: More than half of the instances are cut off
      | instances | zones | count | fault        |
      | 7         | 4     | 4     | cut          |

  Scenario: Both watchers are cut off while processor time is short
    Given 6 instances in 3 zones, undisturbed
    And all instances run for 50 ms of each 100 ms
    And the watchers have just read the store
    When the links of the first 2 watchers to the store have the fault "cut"
    And the operator adds a route and a server says that it is leaving
    Then both are in force within 3 s at the undisturbed instances

  Scenario Outline: The store's replies to both watchers arrive late
    Given 6 instances in 3 zones, undisturbed
    And the watchers have just begun to wait for changes
    When the replies of the store to the first 2 watchers are held up for <ms> ms
    And the watchers have just read the store
    And the operator adds a route and a server says that it is leaving
    Then both are in force within 3 s at the undisturbed instances

    Examples:
      | ms   |
      | 400  |

    @known_red
    Examples: Later than a watcher can make up for
      | ms   |
      | 1900 |

  Scenario: A watcher was started a short time ago, and another one dies
    Given 6 instances in 3 zones, undisturbed
    When watcher 1 was killed and started again 5 s ago
    And the watchers have just read the store
    And watcher 2 is killed
    And the operator adds a route and a server says that it is leaving
    Then both are in force within 3 s at the undisturbed instances

  Scenario: A watcher was started a short time ago, and streams to another one are lost
    Given 6 instances in 3 zones, undisturbed
    When watcher 1 was killed and started again 5 s ago
    And the streams to watcher 2 are reset
    And the operator adds a route and a server says that it is leaving
    Then both are in force within 3 s at the undisturbed instances

  Scenario: Both watchers are held up again and again
    Given 6 instances in 3 zones, undisturbed
    When the first 2 watchers are held up for 400 ms of each 500 ms
    And the operator adds a route and a server says that it is leaving
    Then both are in force within 3 s at the undisturbed instances

  Scenario Outline: The instance that was asked for a value dies while the tables change
    Given 6 instances in 3 zones, undisturbed
    And servers' items that change each 10 ms
    When the instance that first sends "<key>" to the last watcher dies before it has sent it
    And the operator adds a route and a server says that it is leaving
    Then both are in force within 3 s at the undisturbed instances

    Examples:
      | key               |
      | op/config         |
      | servers/records-a |
