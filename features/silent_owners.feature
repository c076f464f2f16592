Feature: Owners that stop responding
  The kernel of an entry on a clock that the test controls. The test sends the messages of the
  cell's owners. The route's latency goal is 100 ms.

  Background:
    Given an entry in a cell of three instances and a query to 30 shards

  Scenario: An owner that does not acknowledge its sub-requests is replaced by its stand-bys
    When all owners but "i-3" reply at once
    And 80 ms pass
    Then all sub-requests of "i-3" have been sent to the other instances
    And the query has been cancelled at "i-3"

  Scenario: An owner that stops after its acknowledgement is replaced as well
    When all owners but "i-3" reply at once, and "i-3" acknowledges its sub-requests
    And 120 ms pass
    Then all sub-requests of "i-3" have been sent to the other instances
    And the query has been cancelled at "i-3"

  Scenario: An owner that waits for its servers keeps its sub-requests
    When all owners but "i-3" reply at once, and "i-3" acknowledges its sub-requests
    And 300 ms pass, in which "i-3" replies to liveness checks
    Then no sub-request has been sent twice
    And "i-3" has received at most 5 liveness checks

  Scenario: The timeout of a silent owner delays one query and not the later ones
    Given all owners but "i-3" reply at once
    And 80 ms pass
    When another query arrives
    Then nothing of it is sent to "i-3"

  Scenario: An owner that responds again receives sub-requests again
    Given all owners but "i-3" reply at once
    And 80 ms pass
    When "i-3" acknowledges its sub-requests
    And another query arrives
    Then its sub-requests are divided among three instances

  Scenario: An owner that was allowed all calls of the route is not replaced
    When all owners but "i-3" reply at once, and "i-3" acknowledges its sub-requests
    And "i-3" requests another call for each of its shards
    Then it may make 2 calls for each
    When 300 ms pass
    Then no sub-request has been sent twice

  Scenario: Owners whose streams end one after another do not exceed the route's call limit
    When the stream to "i-3" ends
    And the stream to "i-2" ends
    And the stream to "i-1" ends
    Then no sub-request has been sent more than twice

  Scenario: Sub-requests that were not sent do not count against the route's call limit
    When nothing can be sent to "i-3"
    Then all sub-requests of "i-3" have been sent to the other instances
    When the streams to those instances end
    Then all sub-requests of "i-3" have been sent three times

  Scenario: A duplicate request for more calls gets the same response
    Given a route that allows 4 calls for each shard
    When "i-3" requests another call for each of its shards
    Then it may make 2 calls for each
    When "i-3" sends the same request again
    Then it may make 2 calls for each

  Scenario: An owner that was replaced may make no second call
    When all owners but "i-3" reply at once
    And 80 ms pass
    And "i-3" requests another call for each of its shards
    Then it may make 1 call for each

  Scenario: An entry whose own timers were delayed does not replace owners
    When all owners but "i-3" reply at once
    And 300 ms pass in which the entry handles no event
    And "i-3" acknowledges its sub-requests
    And 10 ms pass
    Then no sub-request has been sent twice

  Scenario: An owner makes no second call that the entry has not allowed
    Given an owner whose servers do not answer and a sub-request of another instance
    When 300 ms pass at the owner
    Then it has called 1 server
    And it has requested one more call from the entry once
    When the entry allows 1 call
    And 15 ms pass at the owner
    Then it has called 1 server
    When 50 ms pass at the owner
    And the entry allows 2 calls
    Then it has called 2 servers
    When 300 ms pass at the owner
    Then it has called 2 servers

  Scenario: A call that fails while its hedge is requested is retried although the hedge is denied
    Given an owner whose servers do not answer and a sub-request of another instance
    When 100 ms pass at the owner
    And its call fails
    And the entry allows 1 call
    Then its latest request for a call is a retry of a lost call
    When the entry allows 2 calls
    Then it has called 2 servers
