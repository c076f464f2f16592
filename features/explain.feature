@fleet
Feature: A failed request is explained from logs alone

  Scenario: A gathered answer with too few shards
    Given the server "alpha-a" has the fault "error"
    And the server "alpha-b" has the fault "error"
    And the server "beta-a" has the fault "lost"
    And the server "beta-b" has the fault "lost"
    When the caller searches for "a" at instance 1
    Then the status is 502
    When the request is explained
    Then the explanation lists "alpha, beta" as missing
    And the explanation lists a failed call with the reason "backend_error"
    And the explanation lists a failed call with the reason "connection_lost"
    And the cause begins with "failed because of"

  Scenario: A refusal
    Given the server "records-a" has the fault "shed"
    And the server "records-b" has the fault "shed"
    When the caller sends "POST" "/order/x" with the body "boat"
    Then the status is 503
    When the request is explained
    Then the explanation lists a failed call with the reason "shed"
    And the cause begins with "not_run because of shed"

  Scenario: A non-repeatable request whose answer was lost
    Given the server "records-a" has the fault "lost"
    And the server "records-b" has the fault "lost"
    When the caller sends "POST" "/order/x" with the body "boat"
    Then the status is 502
    When the request is explained
    Then the explanation lists a failed call with the reason "connection_lost"
    And the cause begins with "unknown because of connection_lost"

  Scenario: A request that no log contains
    When the request "never-sent" is explained
    Then the command's exit code is 1

  Scenario: Log lines are ordered by monotonic time when a wall clock jumps
    Given two logs of a request, and the second instance's wall clock jumps by an hour
    When the logs are merged
    Then the steps are listed in the order "arrived, called, call failed, answered"

  Scenario: No process reads the log output
    Given a log buffer that writes to a full pipe
    When 5000 info lines and 10 warnings are logged
    Then logging took less than 2 s
    And the buffer holds the 10 warnings
    And the dropped lines are counted
