Feature: The request log states why sub-requests were sent again, and reports excess calls
  The kernel of an entry with its request log, on a clock that the test controls.

  Background:
    Given an entry in a cell of three instances and a query to 30 shards
    And the request log of that entry

  Scenario: A request whose shards may have been called more often than the route allows
    When all owners but "i-3" reply at once
    And 80 ms pass
    And the entry allows the stand-bys one call too many
    And the stand-bys reply
    Then the log contains "asked again" with the reason "owner_silent" for each shard of the stand-bys
    And the log warns "more calls than the route allows" for each shard of the stand-bys
    And each shard of the stand-bys is counted as called too often

  Scenario: A request with an ordinary answer is not reported
    When all owners reply at once
    Then the log contains no warning
    And no shard is counted as called too often
