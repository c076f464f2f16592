Feature: What an instance believes of the configuration service
  Guards against instances that learn of changes late without a sign of it. An answer is old after
  3800 ms, as with the settings of the deployment.

  Scenario: An answer of its own
    Given an instance that watches the configuration service
    When it reads revision 70 of era 3, with all keys, and 500 ms pass
    Then its status says of the service
      | contact | reader | age_ms | watching | revision | revision_age_ms | era | settled | listed_revision | listed_era |
      | recent  | own    | 500    | True     | 70       | 500             | 3   | False   | 70              | 3          |
    When 2000 ms pass at the instance
    Then its status says of the service
      | contact | age_ms | era | settled |
      | recent  | 2500   | 3   | True    |

  Scenario: An answer that a peer has reported
    Given an instance that does not watch the configuration service
    When a peer reports an answer to "a" that is 250 ms old
    Then its status says of the service
      | contact | reader | age_ms | watching | revision | revision_age_ms | listed_revision |
      | recent  | a      | 250    | False    | 0        | None            | 0               |

  Scenario: Before any answer
    Given an instance that does not watch the configuration service
    Then its status says of the service
      | contact | reader | age_ms | watching | revision | era | settled |
      | unknown | None   | None   | False    | 0        | -1  | True    |
    And its log has no lines of the service

  Scenario: The latest answer becomes old, and recent again
    Given an instance that does not watch the configuration service
    When a peer reports an answer to "a" that is 0 ms old
    And 3750 ms pass at the instance
    Then its log has no lines of the service
    When 125 ms pass at the instance
    Then its log has one line "latest answer of the configuration service is old" with
      | level   | reader | age_ms | watching |
      | WARNING | a      | 3875   | False    |
    When a peer reports an answer to "b" that is 0 ms old, every 1000 ms for 7000 ms
    Then its log has one line "latest answer of the configuration service is recent again" with
      | level | reader |
      | INFO  | b      |

  Scenario: Answers that are old now and then have few lines
    Given an instance that does not watch the configuration service
    When a peer reports an answer to "a" that is 0 ms old, every 4500 ms for 90000 ms
    Then its log has 1 lines of the service

  Scenario: An instance begins and stops to watch
    Given an instance that does not watch the configuration service
    When a peer reports an answer to "a" that is 2500 ms old
    And it is told again and again that it watches
    Then its log has one line "configuration service watched" with
      | level | reader | age_ms | watching |
      | INFO  | a      | 2500   | True     |
    When it is told again and again that it does not watch
    Then its log has one line "configuration service no longer watched" with
      | level | reader | age_ms | watching |
      | INFO  | a      | 2500   | False    |

  Scenario Outline: Reads that fail are counted by reason
    Given a watcher whose next read of the service fails because of <fault>
    Then the failure is counted as "<reason>" alone, after which the service is read again

    Examples:
      | fault                            | reason          |
      | a status of 503                  | no_usable_reply |
      | a reply of an earlier era        | earlier_era     |
      | an error of the program          | program_error   |
      | a range with a reply of 503      | no_usable_reply |
      | a range with an earlier era      | earlier_era     |
      | a range and an error of the program | program_error |
