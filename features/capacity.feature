Feature: The capacity page agrees with its script
  Scenario: The figures are those of the measured slopes
    When the figures are worked out from the slopes
    Then the capacity page holds exactly these figures
