Feature: Owners that fall silent
  An entry's kernel on a clock that the test moves, with the owners of a cell played by the
  test. The route's goal is 100 ms.

  Background:
    Given an entry in a cell of three instances and a query to 30 shards

  Scenario: An owner that never had the work is replaced by its stand-bys
    When all owners but "i-3" answer at once
    And 80 ms pass
    Then all shards of "i-3" have been sent to the other instances
    And "i-3" has been told to drop the query

  Scenario: An owner that took the work and then stands still is replaced as well
    When all owners but "i-3" answer at once, and "i-3" says that it has the work
    And 120 ms pass
    Then all shards of "i-3" have been sent to the other instances
    And "i-3" has been told to drop the query

  Scenario: An owner that waits for its servers keeps the work
    When all owners but "i-3" answer at once, and "i-3" says that it has the work
    And 300 ms pass, in which "i-3" says when asked that it has the work
    Then no shard has been sent twice
    And "i-3" has been asked at most 5 times

  Scenario: An owner that is silent costs one query its patience, not each
    Given all owners but "i-3" answer at once
    And 80 ms pass
    When another query comes
    Then nothing of it is sent to "i-3"

  Scenario: An owner that is heard again gets its shards back
    Given all owners but "i-3" answer at once
    And 80 ms pass
    When "i-3" says that it has the work
    And another query comes
    Then its shards are divided among three instances

  Scenario: An owner that has used up the attempts is not replaced
    When all owners but "i-3" answer at once, and "i-3" says that it has the work
    And "i-3" asks for another call for each of its shards
    Then it may make 2 calls for each
    When 300 ms pass
    Then no shard has been sent twice

  Scenario: Owners whose streams end one after the other do not exceed the attempts
    When the stream to "i-3" ends
    And the stream to "i-2" ends
    And the stream to "i-1" ends
    Then no shard has been sent more than twice

  Scenario: Owners that never had the work use up no attempts
    When nothing can be sent to "i-3"
    Then all shards of "i-3" have been sent to the other instances
    When the streams to those instances end
    Then all shards of "i-3" have been sent three times

  Scenario: A question for more calls that comes twice is answered alike
    When "i-3" asks for another call for each of its shards
    Then it may make 2 calls for each
    When "i-3" asks once more in the same words
    Then it may make 2 calls for each

  Scenario: An owner that was replaced may make no second call
    When all owners but "i-3" answer at once
    And 80 ms pass
    And "i-3" asks for another call for each of its shards
    Then it may make 1 call for each

  Scenario: An entry that was late itself does not give owners up
    When all owners but "i-3" answer at once
    And 300 ms pass in which the entry does nothing
    And "i-3" says that it has the work
    And 10 ms pass
    Then no shard has been sent twice

  Scenario: An owner makes no second call that the entry has not allowed
    Given an owner whose servers do not answer and a sub-request of another instance
    When 300 ms pass at the owner
    Then it has called 1 server
    And it has asked the entry for one more call once
    When the entry allows 1 call
    And 15 ms pass at the owner
    Then it has called 1 server
    When 50 ms pass at the owner
    And the entry allows 2 calls
    Then it has called 2 servers
    When 300 ms pass at the owner
    Then it has called 2 servers
