@fleet
Feature: A failed request is explained from logs alone

  Scenario: A gathered answer with too few shards
    Given the server "alpha-a" has the fault "error"
    And the server "alpha-b" has the fault "error"
    And the server "beta-a" has the fault "lost"
    And the server "beta-b" has the fault "lost"
    When the caller finds "a" at instance 1
    Then the status is 502
    When the request is explained
    Then the account tells that "alpha, beta" gave nothing
    And the account names a failed call with the reason "backend_error"
    And the account names a failed call with the reason "connection_lost"
    And the cause begins with "failed because of"

  Scenario: A refusal
    Given the server "records-a" has the fault "shed"
    And the server "records-b" has the fault "shed"
    When the caller sends "POST" "/order/x" with the body "boat"
    Then the status is 503
    When the request is explained
    Then the account names a failed call with the reason "shed"
    And the cause begins with "not_run because of shed"

  Scenario: Work that may not be repeated and whose answer was lost
    Given the server "records-a" has the fault "lost"
    And the server "records-b" has the fault "lost"
    When the caller sends "POST" "/order/x" with the body "boat"
    Then the status is 502
    When the request is explained
    Then the account names a failed call with the reason "connection_lost"
    And the cause begins with "unknown because of connection_lost"

  Scenario: A request that no log knows
    When the request "never-sent" is explained
    Then the command's exit code is 1

  Scenario: Lines of instances whose wall clocks differ stand in the order of steady time
    Given two logs of a request whose second instance's clock jumps by an hour
    When the logs are put together
    Then the steps stand in the order "arrived, called, call failed, answered"

  Scenario: Nobody reads the logs
    Given a log buffer that writes to a full pipe
    When 5000 usual lines and 10 warnings are logged
    Then logging took less than 2 s
    And the buffer holds the 10 warnings
    And the lines left out are counted
