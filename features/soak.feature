Feature: Soak of real processes under faults that a seed decides

  Scenario: The same seed gives the same plan
    Then the plans of seed 7 are equal, and that of seed 8 differs

  Scenario: A short run breaks no promise
    When the soak plays seed 3 for 14 s with 4 instances
    Then it ends with 0 broken promises

  Scenario: Seeds that failed once break no promise any more
    When the soak plays the seeds that failed once
    Then all of them end with 0 broken promises
