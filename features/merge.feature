Feature: Merging of results

  Scenario: Equal records are all kept
    When the records "b, a, b, c, a" are merged and the 4 greatest kept
    Then the merged records are "c, b, b, a"
