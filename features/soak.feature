Feature: Soak test of real processes with faults generated from a seed

  Scenario: The same seed gives the same plan
    Then two plans of seed 7 are equal and the plan of seed 8 differs

  Scenario: A short run breaks no promise
    When the soak test runs seed 3 for 14 s with 4 instances
    Then it ends with 0 broken promises

  Scenario: Seeds of past failures no longer break a promise
    When the soak test runs the seeds of past failures
    Then all of them end with 0 broken promises
