Feature: Order of an owner's queue by the time left to the goal
  The kernel of an owner of one shard on a clock that the test controls. Its calls take a fixed time
  for each kind: 8 ms for urgent and 200 ms for normal sub-requests, unless the servers pause.

  Scenario: After a pause, sub-requests that can meet their goal are called before late ones
    Given an owner that orders by goal and has seen calls of "urgent" sub-requests
    And the servers pause with all slots in use
    And 20 "urgent" sub-requests arrive with 30 ms to the goal and 900 ms to the deadline
    And the pause lasts 110 ms
    And 12 "urgent" sub-requests arrive with 40 ms to the goal and 950 ms to the deadline
    When the servers continue
    Then at least 12 "urgent" calls end within the goal
    And all sub-requests are called

  Scenario: Urgent work that may be in time is started although the servers were slow with normal work
    Given an owner that orders by goal and has seen calls of "urgent" sub-requests
    And it has seen calls of "normal" sub-requests
    And the servers pause with all slots in use
    And 2 "urgent" sub-requests arrive with 30 ms to the goal and 60 ms to the deadline
    And the pause lasts 20 ms
    When the servers continue
    Then at least 2 "urgent" calls end within the deadline

  Scenario: A call whose result cannot arrive before the deadline is not started
    Given an owner that orders by goal and has seen calls of "normal" sub-requests
    And it has seen calls of "urgent" sub-requests
    And the servers pause with all slots in use
    And 3 "normal" sub-requests arrive with 90 ms to the goal and 200 ms to the deadline
    And the pause lasts 60 ms
    When the servers continue
    Then no "normal" call is started
    And 3 decisions are counted as "not_started"

  Scenario: A rank keeps its guaranteed share beside a flood of a more urgent one
    Given an owner that orders by goal and has seen calls of "urgent" sub-requests
    And the servers pause with all slots in use
    And 200 "urgent" sub-requests arrive with 30 ms to the goal and 9000 ms to the deadline
    And 40 "normal" sub-requests arrive with 90 ms to the goal and 9000 ms to the deadline
    When the servers continue
    Then at least 9% of the first 200 calls are "normal"
