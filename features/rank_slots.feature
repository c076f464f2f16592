Feature: Slots of servers that lower ranks may use while urgent work shares them
  Kernels on a clock that the test controls.

  Scenario: Normal parts leave a slot of each server to urgent ones
    Given an owner that limits lower ranks and has seen calls of "urgent" sub-requests
    And the servers pause
    When 6 "normal" and 2 "urgent" sub-requests arrive in this order
    Then 2 "normal" and 2 "urgent" calls are in flight
    And 4 decisions are counted as "rank_held"
    And all sub-requests are called once the servers continue

  Scenario: Normal parts use all slots while no urgent work arrives
    Given an owner that limits lower ranks and has seen calls of "urgent" sub-requests
    And the servers pause
    And the pause lasts 2100 ms
    When 6 "normal" and 0 "urgent" sub-requests arrive in this order
    Then 4 "normal" and 0 "urgent" calls are in flight

  Scenario: Urgent answers meet their goal under a load that fills the servers' queues
    Given seven entries that share servers of two slots, with lower ranks limited
    When 3 s of the generated load of urgent and normal queries run
    Then at least 93% of "urgent" answers meet their goal at the entry
    And at least 93% of "normal" answers meet their goal at the entry
