Feature: Soak test of real processes with faults generated from a seed

  Scenario: The same seed gives the same plan
    Then two plans of seed 7 are equal and the plan of seed 8 differs

  Scenario: Returns of the store leave the other faults of a plan as they are
    Then the returns of seed 7 are added to its other faults, which stay as they are

  Scenario: A short run breaks no promise
    When the soak test runs seed 3 for 14 s with 4 instances
    Then it ends with 0 broken promises
    And it writes nothing to standard error

  Scenario: A run in which the store comes back from older copies breaks no promise
    When the soak test runs seed 8 for 30 s with 6 instances and a store that comes back from older copies
    Then it ends with 0 broken promises

  Scenario: A run in which the native configuration service comes back breaks no promise
    When the native soak test runs seed 1 for 12 s and a service that comes back from older copies
    Then it ends without violations

  Scenario: Seeds of past failures no longer break a promise
    When the soak test runs the seeds of past failures
    Then all of them end with 0 broken promises

  Scenario Outline: The stand-ins close their connections in order (tracebacks failed a clean run)
    When a server and a proxy before it are stopped with a connection that <state>
    Then the event loop has reported no error

    Examples:
      | state             |
      | is idle           |
      | waits for a reply |
      | was just opened   |
