Feature: The store comes back from an older copy
  Six instances use a store that is away for a second and comes back with the state of some seconds
  before. Revisions go back and are given out again; the operator and the servers write again what
  was lost. Each scenario starts a deployment of its own.

  @fleet_six
  Scenario Outline: A configuration takes effect although its revision is below that of a lost one
    Given the store's state is copied
    And 10 items of other writers are written
    And the configuration with the routes "/lost/" is written
    And "/lost/x" is answered with 200 everywhere in time
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
    And "/lost/x" is answered with 200 everywhere in time
    And "/lost/x" is requested all the while
    When the store is away for 1 s and returns from the copy
    And 8 s have passed since the return
    Then meanwhile all statuses were 200
