Feature: Replies of an owner to another instance
  An owner's kernel with the shards of one query, on a clock that the test moves.

  Scenario: Parts that come close together travel in one message
    Given an owner with 4 shards of a query of another instance
    When the servers of 2 shards answer at once
    Then nothing has been sent
    When 2 ms pass at the replying owner
    Then 1 message with 2 parts has been sent

  Scenario: The last part of a query does not wait
    Given an owner with 4 shards of a query of another instance
    When the servers of 4 shards answer at once
    Then 1 message with 4 parts has been sent

  Scenario: Parts for the instance itself do not wait
    Given an owner with 4 shards of a query of its own
    When the servers of 2 shards answer at once
    Then 2 messages with 2 parts have been sent
