@site_zurichsee
Feature: A request is served end to end
  Callers may use any instance; its answer covers all shards of the pool.

  Scenario Outline: Any instance answers a query completely
    When the caller queries route "slot-finder" at instance <instance> for "coxed four"
    Then the outcome is "answered"
    And all 20 shards are covered from one snapshot
    And 10 results are sorted by descending score

    Examples:
      | instance |
      | 1        |
      | 2        |
      | 3        |

  Scenario: All instances give the same answer
    When the caller queries route "slot-finder" at instances 1 to 3 for "double scull"
    Then all answers have the same results

  Scenario Outline: A request that cannot be served is refused with the outcome not_run
    When the caller sends <body> to route "<route>" at instance 1
    Then the reason is "<reason>" and the outcome "not_run"
    And the instance 1 has counted a refusal "<reason>"

    Examples:
      | route       | body                                | reason                |
      | slot-finder | {"query": 1}                        | bad_request           |
      | slot-finder | {"query": "x", "limit": 0}          | bad_request           |
      | slot-finder | {"query": "x", "deadline_ms": 9999} | deadline_out_of_range |
      | slot-findr  | {"query": "x"}                      | unknown_route         |
      | notify-crew | {"query": "x"}                      | ticket_required       |
      | book-boat   | {"query": "x", "ticket": "t"}       | ticket_malformed      |
      | crew-matcher | {"query": "x"}                     | pool_not_defined      |
