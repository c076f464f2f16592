Feature: Declared dependencies

  Scenario: The deployment declares the same packages as the program
    Then the program declares each package of the deployment with the same version
