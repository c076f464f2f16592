Feature: The protocols hold in all their states
  Spin searches every state of the small specifications. Each mutant breaks a rule that the
  program keeps, and the search must find the counter-example.

  Scenario Outline: A model is searched
    When spin searches the model "<model>" with "<mutant>"
    Then the search ends with <errors>

    Examples:
      | model   | mutant             | errors    |
      | tickets | none               | no error  |
      | tickets | MUTANT_INCARNATION | an error  |
      | tickets | MUTANT_RESEND      | an error  |
      | tickets | MUTANT_FORGET      | an error  |
      | tickets | MUTANT_NOT_RUN     | an error  |
      | tables  | none               | no error  |
      | tables  | MUTANT_LAST_WINS   | an error  |
      | tables  | MUTANT_NUMBER_ONLY | an error  |
      | tables  | MUTANT_NO_CHECK    | an error  |
