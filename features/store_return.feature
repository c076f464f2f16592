Feature: The store comes back from an older copy
  Six instances use a store that is away for a second and comes back with the state of some seconds
  before. Revisions go back and are given out again; the operator and the servers write again what
  was lost. Each scenario starts a deployment of its own.

  @fleet_six
  Scenario Outline: A configuration takes effect although its revision is below that of a lost one
    Given the store's state is copied
    And 10 items of other writers are written
    And the configuration with the routes "/lost/" is written
    And "/lost/x" is answered with 200 everywhere
    When the store is away for 1 s and returns from the copy
    And <seconds> s have passed since the return
    And the configuration with the routes "/lost/, /new/" is written below the lost revision
    Then "/new/x" is answered with 200 everywhere in time
    And "/lost/x" is answered with 200 everywhere in time

    Examples:
      | seconds |
      | 0       |
      | 6       |

  @fleet_six
  Scenario: A leaving server is left out although its revision is below that of its lost item
    Given the servers in use are "records-a, records-b" in time
    And the store's state is copied
    When the server "records-a" writes its item 10 times more
    And 3 s have passed since the writing
    And the store is away for 1 s and returns from the copy
    And the server "records-a" is registered with the state "draining"
    Then the servers in use are "records-b" in time

  @fleet_six
  Scenario: No instance goes back to the older configuration of the copy
    Given the store's state is copied
    And 10 items of other writers are written
    And the configuration with the routes "/lost/" is written
    And "/lost/x" is answered with 200 everywhere
    And "/lost/x" is requested all the while
    When the store is away for 1 s and returns from the copy
    And 8 s have passed since the return
    Then meanwhile all statuses were 200

  @fleet_six
  Scenario: A configuration that is written again takes effect after two returns in a row
    Given the store's state is copied
    And 10 items of other writers are written
    And the configuration with the routes "/lost/" is written
    And "/lost/x" is answered with 200 everywhere
    When the store is away for 1 s and returns from the copy
    And the configuration with the routes "/lost/, /again/" is written
    And 1 s have passed since the return
    And the store is away for 1 s and returns from the copy
    And the configuration with the routes "/lost/, /again/, /new/" is written
    Then "/new/x" is answered with 200 everywhere in time

  @fleet_six
  Scenario: A configuration takes effect at an instance that was restarted after the return
    Given the store's state is copied
    And 10 items of other writers are written
    And the configuration with the routes "/lost/" is written
    And "/lost/x" is answered with 200 everywhere
    When the store is away for 1 s and returns from the copy
    And instance 2 is killed and started again
    And the configuration with the routes "/lost/, /new/" is written below the lost revision
    Then "/new/x" is answered with 200 everywhere in time

  @fleet_six
  Scenario: Servers whose registration was lost and is written again stay in use all the while
    Given the server "records-a" is registered with the state "removed"
    And the server "records-b" is registered with the state "removed"
    And "/record/x" is answered with 503 everywhere
    And the store's state is copied
    And the server "records-a" is registered with the state "ready"
    And the server "records-b" is registered with the state "ready"
    And the servers in use are "records-a, records-b" in time
    And "/record/x" is requested all the while
    When the store is away for 1 s and returns from the copy
    And 1.5 s have passed since the return
    And the server "records-a" is registered with the state "ready"
    And the server "records-b" is registered with the state "ready"
    And 8 s have passed since the return
    Then meanwhile all statuses were 200

  @fleet_six
  Scenario: A server whose registration was lost and is not written again is gone
    Given the server "records-a" is registered with the state "removed"
    And the servers in use are "records-b" in time
    And the store's state is copied
    And the server "records-a" is registered with the state "ready"
    And the servers in use are "records-a, records-b" in time
    When the store is away for 1 s and returns from the copy
    Then the server "records-a" is gone when the time to write again has passed

  @fleet_six
  Scenario: A removed server whose removal was lost stays removed for the time to write again
    Given the store's state is copied
    And the server "records-a" is registered with the state "removed"
    And the servers in use are "records-b" in time
    And "/record/x" is requested all the while
    When the store is away for 1 s and returns from the copy
    And 2 s have passed since the return
    Then meanwhile the server "records-a" received nothing

  @fleet_six
  Scenario: A removed server whose removal was lost is in use again when it is written again
    Given the store's state is copied
    And the server "records-a" is registered with the state "removed"
    And the servers in use are "records-b" in time
    When the store is away for 1 s and returns from the copy
    And the server "records-a" is registered with the state "ready"
    Then the servers in use are "records-a, records-b" in time

  @fleet_six
  Scenario: The removal of a server takes effect although it is below the revision of its lost item
    Given the servers in use are "records-a, records-b" in time
    And the store's state is copied
    When the server "records-a" writes its item 10 times more
    And 3 s have passed since the writing
    And the store is away for 1 s and returns from the copy
    And the server "records-a" is registered with the state "removed"
    Then the servers in use are "records-b" in time

  @fleet_six
  Scenario: A new server is in use although its revision is below that of a lost list
    Given the store's state is copied
    And 10 items of other writers are written
    And the configuration with the routes "/lost/" is written
    And "/lost/x" is answered with 200 everywhere
    When a change is written whose history is discarded at once, so that the ranges are listed again
    And the store is away for 1 s and returns from the copy
    And a new server "records-c" is started and registered
    Then the servers in use are "records-a, records-b, records-c" in time

  @fleet_six
  Scenario: An evacuation that was set in the lost span and is written again is in force
    Given the store's state is copied
    And 10 items of other writers are written
    And the zone "z9" is evacuated in the store
    And the zone "z9" is evacuated everywhere
    When the store is away for 1 s and returns from the copy
    And the zone "z9" is evacuated in the store
    Then the zone "z9" is evacuated everywhere in time
    When the evacuation of the zone "z9" is removed from the store
    Then no zone is evacuated anywhere in time

  @fleet_six
  Scenario: An evacuation that was lifted in the lost span and is lifted again ends
    Given the zone "z9" is evacuated in the store
    And the zone "z9" is evacuated everywhere
    And the store's state is copied
    And 10 items of other writers are written
    And the evacuation of the zone "z9" is removed from the store
    And no zone is evacuated anywhere
    When the store is away for 1 s and returns from the copy
    And the evacuation of the zone "z9" is removed from the store
    Then no zone is evacuated anywhere in time
    When the zone "z9" is evacuated in the store
    Then the zone "z9" is evacuated everywhere in time

  @fleet_six
  Scenario: Instances of a store that states no era keep what is in force, and follow newer revisions
    Given the store states no era
    And the configuration with the routes "/old/" is written
    And "/old/x" is answered with 200 everywhere
    And "/old/x" is requested all the while
    When the store is away for 1 s without losing anything
    And the configuration with the routes "/old/, /new/" is written
    Then "/new/x" is answered with 200 everywhere in time
    And meanwhile all statuses were 200

  @site_sparse
  Scenario Outline: Tables of the native service take effect although their number was given out before
    Given the current state of the service is saved as its old state
    And the operators publish the routes with "lost" <times> times
    And the route "lost" is known everywhere in time
    When the service is away for 1 s and returns from its old state
    And the operators publish the routes with "lost, new" once more
    Then the route "new" is known everywhere in time
    And the route "lost" is known everywhere in time

    Examples:
      | times |
      | 1     |
      | 3     |

  @site_sparse
  Scenario: No instance goes back to older tables of the native service
    Given the current state of the service is saved as its old state
    And the operators publish the routes with "lost" 3 times
    And the route "lost" is known everywhere in time
    And the route "lost" is asked for all the while
    When the service is away for 1 s and returns from its old state
    And 8 s have passed since the return
    Then the route "lost" was known everywhere meanwhile

  @site_sparse
  Scenario: A native service that states no era is followed after it was away
    Given the service states no era
    And the operators publish the routes with "old" 1 times
    And the route "old" is known everywhere in time
    And the route "old" is asked for all the while
    When the current state of the service is saved as its old state
    And the service is away for 1 s and returns from its old state
    And the operators publish the routes with "old, new" 1 times
    Then the route "new" is known everywhere in time
    And the route "old" was known everywhere meanwhile
