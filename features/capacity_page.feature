Feature: Figures of the capacity page
  Scenario: The page contains the figures computed from the measured slopes
    When the figures are computed from the slopes
    Then the capacity page contains exactly these figures
