Feature: Mutants
  Each mutant breaks one rule of the program. One whose text no longer occurs shows nothing.

  Scenario: Each mutant finds the text that it replaces
    Then each mutant's text occurs in its file
