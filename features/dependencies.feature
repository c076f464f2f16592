Feature: Declared dependencies

  Scenario: The program has the packages of the deployment as dependencies
    Then the program declares each package of the deployment with the same version
