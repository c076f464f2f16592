Feature: Merging of results

  Scenario: Equal records all count
    When the records "b, a, b, c, a" are merged to the 4 greatest
    Then the merged records are "c, b, b, a"

  Scenario: The declared packages of the instances are the program's
    Then each package of the deployment is declared with the same version by the program
