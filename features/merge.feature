Feature: Merging of results, and declared dependencies

  Scenario: Equal records are all kept
    When the records "b, a, b, c, a" are merged and the 4 greatest kept
    Then the merged records are "c, b, b, a"

  Scenario: The deployment declares the same packages as the program
    Then the program declares each package of the deployment with the same version
