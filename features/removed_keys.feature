Feature: Keys that were removed do not come back after a restart
  An instance that has read the whole store knows which keys exist. Another instance, which was cut
  off when a key was removed, may still have the key in force.

  Scenario: An instance that has started again does not take over a removed key from another one
    Given a store of keys with the server "gone", which is removed while instance "old" is cut off
    When instance "new" starts, reads the store, and is connected to "old"
    Then "gone" is in force at none of the instances
    And the server "kept" is in force at both instances

  Scenario: A key that is written later is taken over from another instance
    Given a store of keys with the server "gone", which is removed while instance "old" is cut off
    When instance "new" starts, reads the store, and is connected to "old"
    And instance "old" reads a later write of "gone"
    Then the server "gone" is in force at both instances
