Feature: Which instances watch the configuration service
  The instances are in an order, with positions from 0. The first two always watch. The latest read
  of the service is stale after 2000 ms for position 2, and 300 ms later for each further position.

  Scenario: The first instances watch
    Then the instances at positions 0 to 1 watch at 0 ms
    And the instances at positions 2 to 9 do not watch at 0 ms

  Scenario: No other instance watches while the latest reported read is recent
    When a peer reports a read of 900 ms age to each instance every 500 ms until 8000 ms
    Then the instances at positions 2 to 9 do not watch at 8000 ms

  Scenario: Further instances watch one after another when the latest reported read becomes stale
    When a peer reports a read of 0 ms age to each instance at 1000 ms
    Then the instances at positions 2 to 9 do not watch at 2900 ms
    And the instances at positions 2 to 2 watch at 3100 ms
    And the instances at positions 3 to 9 do not watch at 3100 ms
    And the instances at positions 2 to 4 watch at 3700 ms

  Scenario: An instance stops watching when a peer reports a recent read again
    When a peer reports a read of 0 ms age to each instance at 1000 ms
    Then the instances at positions 2 to 2 watch at 3100 ms
    When a peer reports a read of 100 ms age to each instance at 3200 ms
    Then the instances at positions 2 to 9 do not watch at 3300 ms

  Scenario: An instance ignores its own reads when peers report them
    When a peer reports a read of 0 ms age to each instance at 1000 ms
    Then the instances at positions 2 to 2 watch at 3100 ms
    When a peer reports a read by instance 2 of 100 ms age to each instance at 3200 ms
    Then the instances at positions 2 to 2 watch at 3300 ms
    And the instances at positions 3 to 9 do not watch at 3300 ms

  Scenario: Instances of a large capacity watch first, in different zones
    A small instance has a slow link, on which one long reply held up a configuration for 8 s.
    Given 12 instances in 3 zones, of which the last 4 have 2.0 cores and the others 0.5
    Then all instances agree on the order of watchers
    And the first 2 in the order have 2.0 cores and are in different zones
    And the first 2 watchers of each zone include all of its instances with 2.0 cores

  # Guards against reports that made a read more recent each time an instance passed them on.
  Scenario Outline: A read becomes stale in time, however often it is passed on
    A change must be in force within 3 s. Of these, 2300 ms are the age at which a read is stale,
    250 ms the interval of its checks and 250 ms are for reading and spreading; 200 ms are left.
    When <count> instances pass on reports of a read at 0 ms each 500 ms over links of <link> ms
    Then the instances at positions 2 to 2 watch at 2200 ms
    And the instances at positions 2 to 3 watch at 2500 ms

    Examples:
      | count | link |
      | 6     | 1    |
      | 7     | 12   |
      | 7     | 50   |
      | 50    | 12   |
