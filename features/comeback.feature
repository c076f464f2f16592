Feature: When a refused caller should come again

  Scenario Outline: Callers that are refused together come back spread
    When 200 requests are refused because of "<reason>"
    Then they come back after <least> to <most> ms
    And each quarter of that time has 30 to 70 of them

    Examples:
      | reason    | least | most |
      | overload  | 150   | 450  |
      | no_server | 150   | 450  |
      | not_ready | 50    | 150  |
      | leaving   | 10    | 30   |
