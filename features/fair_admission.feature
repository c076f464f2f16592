Feature: Fair shares of an entry's admission window between callers
  The kernel of an entry on a clock that the test controls. Each query takes 100 ms. Of a window of
  32 queries, 22 are for the urgent rank, which admits 220 queries a second. Four callers send 25
  queries a second each and return once, when told to; another one keeps 60 queries in progress and
  sends each that is refused again after 5 ms.

  Scenario: A caller that retries immediately does not take the places of the others
    Given an entry that divides its window between callers
    When the four callers and one that keeps 60 queries run for 3 s
    Then at least 97% of the queries of the four callers are answered
    And the other caller gets at least 60 answers a second

  Scenario: A caller alone may use the whole window
    Given an entry that divides its window between callers
    When only the caller that keeps 60 queries runs for 3 s
    Then the other caller gets at least 200 answers a second

  Scenario: Refused callers are told to return when places are expected, not all at once
    Given an entry that divides its window between callers
    When 60 callers send 2 queries each at once while queries end at the usual rate
    Then at least 95% of those that return when told to are admitted

  Scenario: Callers with many addresses cannot make the entry remember more of them
    Given an entry that divides its window between callers
    When 3000 callers send 1 queries each at once while queries end at the usual rate
    Then at most 1024 callers are remembered and all admitted queries have ended

  Scenario: Callers are told the time that admission control states
    When a request is refused because of overload with 120 ms to return
    Then its retry delay is 120 ms
