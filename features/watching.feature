Feature: Which instances watch the configuration service
  The decision on a clock that the test moves; two instances watch, news is stale after
  2000 ms, and each place further in the order waits 300 ms longer.

  Scenario: The first instances watch
    Then the instances at the places 0 to 1 watch at 0 ms
    And the instances at the places 2 to 9 do not watch at 0 ms

  Scenario: Nobody else watches while the watchers' word is fresh
    When each instance hears a word of 900 ms age each 500 ms until 8000 ms
    Then the instances at the places 2 to 9 do not watch at 8000 ms

  Scenario: The next instances take over one after the other when the word grows old
    When each instance hears a word of 0 ms age at 1000 ms
    Then the instances at the places 2 to 9 do not watch at 2900 ms
    And the instances at the places 2 to 2 watch at 3100 ms
    And the instances at the places 3 to 9 do not watch at 3100 ms
    And the instances at the places 2 to 4 watch at 3700 ms

  Scenario: An instance that took over steps back when the word is fresh again
    When each instance hears a word of 0 ms age at 1000 ms
    Then the instances at the places 2 to 2 watch at 3100 ms
    When each instance hears a word of 100 ms age at 3200 ms
    Then the instances at the places 2 to 9 do not watch at 3300 ms

  Scenario: An instance that took over is not misled by its own word
    When each instance hears a word of 0 ms age at 1000 ms
    Then the instances at the places 2 to 2 watch at 3100 ms
    When each instance hears a word of instance 2 of 100 ms age at 3200 ms
    Then the instances at the places 2 to 2 watch at 3300 ms
    And the instances at the places 3 to 9 do not watch at 3300 ms
