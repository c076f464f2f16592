Feature: Replies of an owner to another instance
  The kernel of an owner with the shards of one query, on a clock that the test controls.

  Scenario: Parts that are complete at almost the same time are sent in one message
    Given an owner with 4 shards of a query of another instance
    When the servers of 2 shards reply at the same time
    Then nothing has been sent
    When 2 ms pass at the replying owner
    Then 1 message with 2 parts has been sent

  Scenario: The last part of a query is sent without delay
    Given an owner with 4 shards of a query of another instance
    When the servers of 4 shards reply at the same time
    Then 1 message with 4 parts has been sent

  Scenario: Parts for the same instance are sent without delay
    Given an owner with 4 shards of a query of the same instance
    When the servers of 2 shards reply at the same time
    Then 2 messages with 2 parts have been sent
