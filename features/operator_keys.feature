Feature: Operators' keys take effect on time while servers' keys are read
  A fake store keeps its history for one second only, has pages of 50 items, and is reached over a
  link of 9 Mbit/s with a round trip of 50 ms. Time is simulated.

  Scenario Outline: A new configuration is offered while the list of servers is read
    Given a fake store of <count> servers, and a watcher of it
    When a server is written every 100 ms until 20000 ms
    And a new configuration is written every 1700 ms until 20000 ms
    Then each configuration is in force within 1000 ms

    Examples:
      | count |
      | 1000  |
      | 33000 |

  Scenario: A new configuration is offered while the watch of servers gets long replies
    Given a fake store of 1000 servers, and a watcher of it
    When 4000 servers are written at once every 6000 ms until 30000 ms
    And a new configuration is written every 1700 ms until 30000 ms
    Then each configuration is in force within 1000 ms
    And no request of the watcher was given up

  Scenario Outline: Failures of the requests for servers do not delay a configuration
    Given a fake store of 1000 servers, and a watcher of it
    When the store answers requests for servers with <failure> from 3000 ms
    And a new configuration is written every 1700 ms until 20000 ms
    Then each configuration is in force within 1000 ms

    Examples:
      | failure    |
      | status 503 |
      | status 429 |
      | silence    |

  Scenario: Failures of the requests for operators' keys do not delay servers
    Given a fake store of 1000 servers, and a watcher of it
    When the store answers requests for operators' keys with status 503 from 3000 ms
    And the server "late" is written at 8000 ms
    Then the server "late" is in force within 3000 ms

  Scenario: Reading operators' keys by themselves costs few calls
    Given a fake store of 10 servers, and a watcher of it
    When 600000 ms pass without a change
    Then the watcher made at most 401 requests

  Scenario: A configuration does not wait behind servers' values between instances
    Given instance "old" has a configuration and 4000 servers, and instance "new" has nothing
    When the instances are connected, and a configuration is written at "old" after 10 messages
    Then the first value that "new" requested and received is the configuration
    And at most 100000 bytes are delivered from the write until it is in force at "new"
    And all 4000 servers are in force at "new"

  Scenario: Values that were requested and got lost are requested again
    Given instance "old" has a configuration and 4000 servers, and instance "new" has nothing
    When the instances are connected, and the messages after the first 10 are lost
    And the instances compare their tables again 3 s later
    Then all 4000 servers are in force at "new"

  Scenario: The first list of all keys is the one of the operators' keys as well
    Given a fake store of 1000 servers, and a watcher of it
    When 140 ms pass without a change
    Then the watcher made at most 3 requests
    And the watcher has the configuration in force

  Scenario: An evacuation that has ended is found by the first page of a new watcher
    Given a fake store of 33000 servers, and a watcher of it
    And the watcher knows the evacuation of "z9", which the store no longer has
    When 140 ms pass without a change
    Then the watcher has the configuration in force
    And the watcher has no zone evacuated

  Scenario Outline: A reply is given up only when no byte arrives for a time
    When a reply in 8 chunks, one every 200 ms, <end>, is read with timeouts of 1000 ms
    Then the reply is <result>

    Examples:
      | end                             | result   |
      | all of which arrive             | received |
      | of which the last never arrives | given up |

  # Guards against a change of an operators' key that is applied before the list of all keys, and
  # with it the revision up to which keys were listed: all servers then counted as removed.
  Scenario: A change that overtakes the list of all keys removes nothing
    Given a service of which all keys were listed and an operators' key has changed since
    When both readings are made before they are applied
    Then the listed server counts as present
