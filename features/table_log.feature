Feature: Log lines about table values that do not come into force
  Guards against changes of operators that no instance takes over and no line names. An instance has
  the configuration with number 50 and version 3 in force for 5 s.

  Scenario: An older value of the configuration service
    When the service offers "op/config" with number 40 and version 2
    Then there is one line "table value not in force" with these fields
      | level   | key       | reason | source  | number | in_force_number | left_out |
      | WARNING | op/config | older  | service | 40     | 50              | 0        |
    And 1 value from the "service" was counted as "older"

  Scenario: A value of the copy from which an era of the service began
    When the service offers "op/config" with number 40 and version 2 of era 1
    Then there is one line "table value not in force" with these fields
      | level   | key       | reason          | source  | number | era | in_force_number | in_force_era |
      | WARNING | op/config | of_earlier_copy | service | 40     | 1   | 50              | -1           |
    And 1 value from the "service" was counted as "of_earlier_copy"

  Scenario: A value that is older than a list that lacks its key
    Given all keys were listed up to number 60
    When the service offers the server "late" with number 55
    Then there is one line "table value not in force" with these fields
      | level   | key          | reason  | source  | number | in_force_number |
      | WARNING | servers/late | removed | service | 55     | 60              |
    And 1 value from the "service" was counted as "removed"

  Scenario: A removed key that a peer still has
    Given all keys were listed up to number 60
    When a peer offers the server "gone" with number 55
    Then there is one line "table value not in force" with these fields
      | level | key          | reason  | source | number | in_force_number |
      | INFO  | servers/gone | removed | peer   | 55     | 60              |

  Scenario: The removal of a key that this instance never had
    Given all keys were listed up to number 60
    When a peer offers the removal of the server "gone" with number 55
    Then there are no lines "table value not in force"
    And 1 value from the "peer" was counted as "accepted"

  Scenario: Values that are in force, that are newer, and older ones of peers
    When the service offers "op/config" with number 50 and version 3
    And a peer offers "op/config" with number 40 and version 2
    And the service offers "op/config" with number 51 and version 4
    Then there are no lines "table value not in force"

  Scenario Outline: An older value of the service after a change
    Two ranges are read side by side, so that the first of two changes may be read again.
    Given the service offered "op/config" with number 52 and version 4 <ms> ms ago
    When the service offers "op/config" with number 51 and version 4
    Then there are <count> lines "table value not in force", which left out 0 others

    Examples:
      | ms   | count |
      | 900  | 0     |
      | 1100 | 1     |

  Scenario: A key that is offered again and again
    When the service offers "op/config" with number 40 and version 2 every 300 ms for 12 s
    Then there are 3 lines "table value not in force", which left out 32 others

  Scenario: Many keys at once
    Given the servers 0 to 999 were put in force with number 55
    When the service offers the servers 0 to 999 with number 45 within 10 s
    Then there are 50 lines "table value not in force", at most 5 in any second

  Scenario: The first era that the service states
    Given an instance without values
    When a reply of the service states era 4
    Then there is one line "era of the configuration service known" with these fields
      | level | era | era_before | source  | values |
      | INFO  | 4   | -1         | service | 0      |

  Scenario: The service states an era only after values are in force
    When a reply of the service states era 1
    Then there is one line "era of the configuration service known" with these fields
      | level   | era | era_before | source  | values |
      | WARNING | 1   | -1         | service | 1      |

  Scenario: The service comes back from an older copy
    Given a reply of the service has stated era 4
    When a reply of the service states era 5
    And a reply of the service states era 5
    Then there is one line "the configuration service came back from an older copy" with these fields
      | level   | era | era_before | source  | settle_seconds | values |
      | WARNING | 5   | 4          | service | 2.2            | 1      |

  Scenario: A peer knows of the return first
    Given a reply of the service has stated era 4
    When a peer offers "op/config" with number 40 and version 5 of era 5 in a message
    And a reply of the service states era 5
    Then there is one line "the configuration service came back from an older copy" with these fields
      | level   | era | era_before | source | values |
      | WARNING | 5   | 4          | peer   | 1      |

  Scenario: Values of earlier eras are read again when the era is settled
    Given a reply of the service has stated era 4
    When a reply of the service states era 5
    And the service is listed with "op/config" of number 40 and version 2, now and after the era is settled
    Then there is one line "values of earlier eras are read again" with these fields
      | level | settled_era | earlier_values |
      | INFO  | 5           | 1              |

  Scenario: The native service comes back, and its values are read again when the era is settled
    Given a reply of the service has stated era 4
    When the native service states era 5 and "op/config" of number 40 and version 2, twice
    Then there is one line "the configuration service came back from an older copy" with these fields
      | level   | era | era_before | source  | values |
      | WARNING | 5   | 4          | service | 1      |
    And there is one line "values of earlier eras are read again" with these fields
      | level | settled_era | earlier_values |
      | INFO  | 5           | 1              |
