Feature: Model checking of the protocols
  The model checker Spin explores all states of small models of the protocols. Each mutant breaks a
  rule that the program follows, and the search must find a counterexample.

  Scenario Outline: The states of a model are explored
    When Spin explores the model "<model>" with "<mutant>"
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
