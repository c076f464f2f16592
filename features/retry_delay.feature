Feature: Retry delay for refused callers

  Scenario Outline: The retries of callers that are refused at the same time are spread by jitter
    When 200 requests are refused because of "<reason>"
    Then their retry delays are <least> to <most> ms
    And each quarter of that range contains 30 to 70 of the delays

    Examples:
      | reason    | least | most |
      | overload  | 150   | 450  |
      | no_server | 150   | 450  |
      | not_ready | 50    | 150  |
      | leaving   | 10    | 30   |
