Feature: Order of values when the configuration service comes back from an older copy
  The service counts in its replies how often it has come back, as its era. It has then lost what
  it had acknowledged for a time, and gives out the same revisions again. Operators and servers
  write again what was lost. Time is simulated.

  Scenario Outline: Of two values of a key, <rule>
    Given a value in force of era <era>, number <number>, version <version>, place <place>
    When one of era <era2>, number <number2>, version <version2>, place <place2> is offered
    Then it is <unsettled> while the newest era is unsettled, and <settled> afterwards

    Examples: configurations
      | rule                                            | era | number | version | place | era2 | number2 | version2 | place2 | unsettled       | settled         |
      | a larger number replaces a smaller one          | 1   | 50     | 5       | none  | 1    | 51      | 6        | none   | newer           | newer           |
      | a smaller number replaces nothing in its era    | 1   | 50     | 5       | none  | 1    | 49      | 4        | none   | older           | older           |
      | the later version has a smaller number          | 1   | 50     | 5       | none  | 2    | 45      | 6        | none   | newer           | newer           |
      | the copy has an earlier version                 | 1   | 50     | 5       | none  | 2    | 40      | 4        | none   | of_earlier_copy | of_earlier_copy |
      | an earlier version has a larger number          | 1   | 50     | 5       | none  | 2    | 55      | 4        | none   | of_earlier_copy | of_earlier_copy |
      | a version of the earlier era is later           | 2   | 45     | 5       | none  | 1    | 50      | 6        | none   | newer           | newer           |
      | the same version is written again               | 1   | 50     | 5       | none  | 2    | 45      | 5        | none   | of_earlier_copy | newer           |

    Examples: servers
      | rule                                            | era | number | version | place | era2 | number2 | version2 | place2 | unsettled       | settled         |
      | the server made the second later                | 1   | 50     | 0       | 5.7   | 2    | 45      | 0        | 5.8    | newer           | newer           |
      | the copy has one that the server made earlier   | 1   | 50     | 0       | 5.7   | 2    | 40      | 0        | 5.6    | of_earlier_copy | newer           |
      | the server made the second earlier              | 1   | 50     | 0       | 5.7   | 2    | 55      | 0        | 5.6    | of_earlier_copy | newer           |
      | the second is of a later process                | 1   | 50     | 0       | 5.7   | 2    | 45      | 0        | 6.1    | newer           | newer           |
      | a late one of the earlier era is later          | 2   | 45     | 0       | 5.7   | 1    | 50      | 0        | 5.8    | newer           | of_earlier_copy |
      | a late one of the earlier era is earlier        | 2   | 45     | 0       | 5.7   | 1    | 50      | 0        | 5.6    | of_earlier_copy | of_earlier_copy |

    Examples: values whose contents tell no order
      | rule                                            | era | number | version | place | era2 | number2 | version2 | place2 | unsettled       | settled         |
      | the copy has a smaller number                   | 1   | 50     | 0       | none  | 2    | 45      | 0        | none   | of_earlier_copy | newer           |
      | the service has given out a larger number       | 1   | 50     | 0       | none  | 2    | 51      | 0        | none   | newer           | newer           |
      | a late one of the earlier era has a larger one  | 2   | 45     | 0       | none  | 1    | 50      | 0        | none   | newer           | of_earlier_copy |
      | only the one in force tells its place           | 1   | 50     | 0       | 5.7   | 2    | 45      | 0        | none   | of_earlier_copy | newer           |
      | an earlier build, without eras, has a later one | 2   | 50     | 0       | 5.7   | -1   | 51      | 0        | 5.8    | newer           | newer           |
      | an earlier build has an earlier one             | 2   | 50     | 0       | 5.7   | -1   | 45      | 0        | 5.6    | of_earlier_copy | of_earlier_copy |
      | the number is given out again                   | 1   | 50     | 0       | none  | 2    | 50      | 0        | none   | newer           | newer           |
      | the number was given out before                 | 2   | 50     | 0       | none  | 1    | 50      | 0        | none   | of_earlier_copy | of_earlier_copy |

  Scenario: A value that the copy has kept is the same in both eras
    Given a value in force of era 1, number 50, version 0, place none
    When the same value is offered in era 2
    Then it is same while the newest era is unsettled, and same afterwards

  Scenario Outline: An era is unsettled for 2.2 s after its first sign
    Given eras of which <first> is stated first, and <second> 1000 ms later
    Then era <newest> is the newest, and settled after <settled_ms> ms

    Examples:
      | first | second | newest | settled_ms |
      | 1     | 1      | 1      | 2200       |
      | 1     | 2      | 2      | 3200       |
      | 2     | 1      | 2      | 2200       |
      | 0     | 0      | 0      | 2200       |
      | 0     | 1      | 1      | 3200       |
      | -1    | -1     | -1     | 0          |

  Scenario Outline: What another instance knows to be settled is settled
    Given eras of which 2 is stated first, and 2 0 ms later
    When another instance states that era <era> is settled
    Then era <newest> is the newest, and settled after <settled_ms> ms

    Examples:
      | era | newest | settled_ms |
      | -1  | 2      | 2200       |
      | 0   | 2      | 2200       |
      | 1   | 2      | 2200       |
      | 2   | 2      | 0          |
      | 3   | 3      | 0          |

  Scenario Outline: A peer that has announced <heard> is <told> of era 2, number 45
    Given a peer that has announced era <era>, number <number> of a key
    When era 2, number 45 of the key is announced to peers
    Then the peer is <told>

    Examples:
      | heard                | era | number | told     |
      | the same             | 2   | 45     | not told |
      | a later one          | 2   | 46     | not told |
      | one of an earlier era | 1   | 50     | told     |
      | an earlier one       | 2   | 44     | told     |

  Scenario Outline: A value of era 2, number 45 is <wanted> while <requested> is on its way
    Given a request for era <era>, number <number> of a key
    When era 2, number 45 of the key is announced by a peer
    Then the value is <wanted>

    Examples:
      | requested            | era | number | wanted        |
      | one of earlier era   | 1   | 50     | requested     |
      | the same             | 2   | 45     | not requested |

  Scenario Outline: A configuration written after the return is in force, era <era> first
    Given 4 instances and a store of era <era> with configuration 1
    When 5 writes of server "s1" and configuration 2 are lost by a return
    And configuration 2 is written again
    And configuration 3 is written
    Then configuration 3 is in force at all instances within 3000 ms
    And no instance has gone back to an earlier configuration
    And all instances have the store's values after 6000 ms

    Examples:
      | era |
      | 1   |
      | 0   |

  Scenario: A server that says that it leaves after the return is believed
    Given 4 instances and a store of era 1 with configuration 1
    When 5 writes of server "s1" and configuration 2 are lost by a return
    And configuration 2 is written again
    And server "s1" is written as draining
    Then server "s1" is draining at all instances within 3000 ms
    And all instances have the store's values after 6000 ms

  Scenario: A server whose registration was lost stays in force until it writes again
    Given 4 instances and a store of era 1 with configuration 1
    When the registration of server "new" is lost by a return
    And the instances run for 1900 ms
    Then server "new" is in force at all instances
    When server "new" is written as ready
    And the instances run for 6000 ms
    Then server "new" was in force at all instances ever since
    And all instances have the store's values after 0 ms

  Scenario: A server whose registration was lost stays in force though its number is given out again
    Given 4 instances and a store of era 1 with configuration 1
    When the registration of server "new" is lost by a return
    And server "s1" is written 20 times
    And the instances run for 1500 ms
    Then server "new" is in force at all instances
    And server "new" was in force at all instances ever since

  Scenario: An instance that starts after the return learns of a server whose registration was lost
    Given 4 instances and a store of era 1 with configuration 1
    When the registration of server "new" is lost by a return
    And instance "i0" starts again
    And the instances run for 1000 ms
    Then server "new" is in force at all instances

  Scenario: A server whose registration was lost and that writes no more is removed
    Given 4 instances and a store of era 1 with configuration 1
    When the registration of server "new" is lost by a return
    Then all instances have the store's values after 6000 ms

  Scenario: A server whose removal was lost stays removed until the store removes it again
    Given 4 instances and a store of era 1 with configuration 1
    When the removal of server "s1" is lost by a return
    And the instances run for 1000 ms
    And server "s1" is removed
    Then all instances have the store's values after 6000 ms
    And server "s1" was in force at no instance since the return

  # Guards against a removal of the earlier era that replaces a value written after the return.
  Scenario: A server that was removed before the return and starts again after it stays in force
    Given 4 instances and a store of era 1 with configuration 1
    When 5 writes of server "s2" and the removal of server "s1" are lost by a return
    And server "s1" is started again
    And instance "i0" starts again
    And the instances run for 1000 ms
    Then server "s1" is in force at all instances

  # Guards against keys whose removal is of an earlier era, and that no list puts in force again.
  Scenario: A living server whose removal was lost is in force again
    Given 4 instances and a store of era 1 with configuration 1
    When the removal of server "s1" is lost by a return
    Then all instances have the store's values after 6000 ms

  Scenario: An evacuation that is set again after its removal was lost is in force
    Given 4 instances and a store of era 1 with configuration 1
    When zone "z" is evacuated and restored, which is lost by a return
    And zone "z" is evacuated
    Then all instances have the store's values after 6000 ms

  Scenario: An evacuation that is lifted after its key was lost is lifted
    Given 4 instances and a store of era 1 with configuration 1
    When zone "z" is evacuated, which is lost by a return
    Then all instances have the store's values after 6000 ms

  # Guards against values of an era that counts from 0, which would count as of the newest one.
  Scenario Outline: An instance that was cut off offers values of the era before the return
    Given 4 instances and a store of era <era> with configuration 1
    When instance "i3" is cut off, and the others start again after a return that it has not seen
    And instance "i3" is connected to the others again
    And configuration 3 is written
    Then configuration 3 is in force at all instances within 3000 ms
    And all instances have the store's values after 6000 ms

    Examples:
      | era |
      | 1   |

    Examples: eras that count from 0
      | era |
      | 0   |

  Scenario: Lists of which the first page is from before the return are read anew
    Given 1 instances and a store of era 1 with configuration 1
    When 5 writes of server "s1" are lost by a return between two pages of a list
    And server "s0" is written as draining
    And server "s4" is written 10 times
    Then server "s0" is draining at all instances within 1000 ms

  Scenario: A list from before the return that arrives after it removes nothing
    Given 4 instances and a store of era 1 with configuration 1
    When a list for instance "i0" is made before a return that loses 5 writes, and is late
    And zone "z" is evacuated
    And the instances run for 500 ms
    Then zone "z" is evacuated at all instances
    When the instances run for 1200 ms
    Then zone "z" is evacuated at all instances

  Scenario: A return that loses nothing costs one list
    Given 4 instances and a store of era 1 with configuration 1
    When the store is away for 0 ms and loses the last 0 ms
    And the instances run for 6000 ms
    Then the instances have made at most 20 requests meanwhile

  Scenario: Two returns, one shortly after the other
    Given 4 instances and a store of era 1 with configuration 1
    When 5 writes of server "s1" and configuration 2 are lost by a return
    And configuration 2 is written again
    And the store is away for 100 ms and loses the last 3000 ms
    And configuration 3 is written
    Then configuration 3 is in force at all instances within 3000 ms
    And no instance has gone back to an earlier configuration
    And all instances have the store's values after 6000 ms

  Scenario Outline: Watches that go on waiting over a return delay nothing
    Given 4 instances and a store of era 1 with configuration 1
    When the store returns without ending watches, and loses <count> writes
    And configuration 3 is written
    Then configuration 3 is in force at all instances within 3000 ms
    And all instances have the store's values after 6000 ms

    Examples:
      | count |
      | 1     |
      | 20    |

  Scenario: The service is not asked more often than before
    Given 4 instances and a store of era 1 with configuration 1
    When the instances run for 60000 ms
    Then the instances have made at most 85 requests meanwhile
    When 5 writes of server "s1" and configuration 2 are lost by a return
    And the instances run for 10000 ms
    And the instances run for 60000 ms
    Then the instances have made at most 85 requests meanwhile

  Scenario: A return costs few calls
    Given 4 instances and a store of era 1 with configuration 1
    When 5 writes of server "s1" and configuration 2 are lost by a return
    And the instances run for 6000 ms
    Then the instances have made at most 40 requests meanwhile

  # The long run, which is started by hand, draws new examples: scripts/test -D examples=2000.
  Scenario: Generated sequences of changes, returns and faults
    Then generated changes, returns, cuts and restarts break no rule

  Scenario: Native dialect: a table written after the return is in force
    Given 1 watcher of a native service of era 1 with routes "one"
    When 5 edits of routes, the last of which is "two", are lost by a return
    And routes "three" are written to the native service
    Then routes "three" are in force within 3000 ms
    And the watcher has made at most 30 calls

  Scenario: Native dialect: the older copy of a table is not put in force again
    Given 1 watcher of a native service of era 1 with routes "one"
    When 5 edits of routes, the last of which is "two", are lost by a return
    And the watcher runs for 10000 ms
    Then routes "two" are in force within 0 ms
    And the watcher has made at most 30 calls
    When routes "three" are written to the native service
    Then routes "three" are in force within 3000 ms

  Scenario: Native dialect: a table of the copy that this instance never had is put in force
    Given 1 watcher of a native service of era 1 with routes "one"
    When routes "two" are lost by a return
    And routes "three" are written to the native service
    And the watcher runs for 5000 ms
    Then routes "three" are in force within 0 ms

  Scenario: Native dialect: an evacuation written after the return is in force
    Given 1 watcher of a native service of era 1 with routes "one"
    When the evacuation of "z" is set and lifted, which is lost by a return
    And the evacuation of "z" is set at the native service
    Then zone "z" is evacuated within 3000 ms
    And the watcher has made at most 30 calls

  Scenario: Native dialect: an evacuation that was lost and not written again ends
    Given 1 watcher of a native service of era 1 with routes "one"
    When the evacuation of "z" is set, which is lost by a return
    Then no zone is evacuated within 5000 ms
    And the watcher has made at most 30 calls

  Scenario: Native dialect: an evacuation whose end was lost is in force again
    Given 1 watcher of a native service of era 1 with routes "one"
    When the evacuation of "z" is lifted after a time, which is lost by a return
    Then zone "z" is evacuated within 5000 ms
    And the watcher has made at most 30 calls

  Scenario: Native dialect: the service is not asked more often than before
    Given 1 watcher of a native service of era 1 with routes "one"
    When the watcher runs for 60000 ms
    Then the watcher has made at most 7 calls
    When 5 edits of routes, the last of which is "two", are lost by a return
    And the watcher runs for 10000 ms
    And the watcher runs for 60000 ms
    Then the watcher has made at most 7 calls

  # Guards against a number of any size that peers cannot be sent.
  Scenario Outline: A removed server whose items had the number <number> affects no other key
    Given 4 instances and a store of era 1 with configuration 1
    When a server with items of the number <number> is removed together with server "s1"
    Then all instances have the store's values after 6000 ms

    Examples:
      | number               |
      | 7                    |
      | 18446744073709551616 |
      | -1                   |

  # Guards against a list of a settled era that fails and is not repeated.
  Scenario: The lists of a settled era fail at first
    Given 4 instances and a store of era 1 with configuration 1
    When the registration of server "new" is lost by a return
    And the store refuses lists from 1800 ms to 6000 ms from now
    Then all instances have the store's values after 12000 ms

  # Guards against values of an earlier build that count as of the newest era.
  Scenario: An instance of an earlier build has the lost configuration
    Given 4 instances and a store of era 1 with configuration 6
    When 5 writes of server "s1" and configuration 7 are lost by a return
    And configuration 7 is written again
    And configuration 8 is written
    And the instances run for 6000 ms
    And an instance of an earlier build offers "i3" configuration 7 with the lost number
    And configuration 9 is written
    Then configuration 9 is in force at all instances within 3000 ms
    And no instance has gone back to an earlier configuration

  # Guards against a cancellation that is lost, so that a watch goes on without its reader.
  Scenario: A reader that was reset at its first list watches no more
    Given 4 instances and a store of era 1 with configuration 1
    When server "s1" is removed
    And server "s2" is removed
    And server "s3" is removed
    And server "s4" is removed
    And instance "i3" reads the store again 3 times
    Then "i3" makes no request in 60 s

  # Guards against a lost table that a peer offers to an instance that started after the return.
  Scenario: Native dialect: a lost table with a larger number replaces none of a later era
    Given routes of era 2 with the number 3 in force
    When routes of era 1 with the number 5 are offered
    Then the routes of era 2 stay in force
