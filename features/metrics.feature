@fleet
Feature: Metrics of an instance
  Counters have a series for each reason from the start; histograms and gauges have few labels.

  Scenario: Latencies by route and rank, and by the outcome of a call
    When callers send 5 searches to the instances 1 to 1
    And the metrics of instance 1 are read
    Then "monsoonhoist_answer_seconds_count" with "route=gathered, rank=urgent" is at least 5
    And "monsoonhoist_call_seconds_count" with "end=answered" is at least 20
    And the buckets of "monsoonhoist_answer_seconds" are cumulative and end at the count

  Scenario: Revisions in force and their age
    When the operator adds the route "/new/"
    Then "/new/x" is answered with 200 at the instances 1 to 3 within 3 s
    When the metrics of instance 1 are read
    Then "monsoonhoist_table_revision" with "keys=op" is the store's revision of "op/config"
    And "monsoonhoist_tables_age_seconds" with "" is at most 5
    And "monsoonhoist_service_word_age_seconds" with "" is at most 5

  Scenario: What an instance knows of the configuration service
    When the metrics of instance 1 are read
    Then "monsoonhoist_service_revision" of instance 1 is the store's revision within 3 s
    And "monsoonhoist_service_failures_total" with "reason=earlier_era" is at most 0
    And "monsoonhoist_table_values_total" with "result=removed, source=service" is at most 0
    And the status of instance 1 names an instance that the service has answered within 5 s
    And "monsoonhoist_service_watched" is 1 at two of the instances

  Scenario: Every refusal and retry reason has a series
    When the metrics of instance 1 are read
    Then there is a series for each reason of a refusal and of a retry

  Scenario: The first reading of the metrics does not stop the instance
    When a new instance reads its metrics for the first time
    Then its event loop has not stood still for half of the gap that counts as a pause
