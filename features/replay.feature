Feature: Replay of recorded traces
  Each trace was recorded by an instance in a real run with a failure, together with the answers
  that the callers received.

  Scenario Outline: The replay of a trace gives the recorded commands and answers
    When the trace "<trace>" is replayed
    Then no command differs
    And the answers are those that the callers received

    Examples:
      | trace    |
      | killed   |
      | stopped  |
      | lost     |
      | draining |
      | snapshot |
      | slow     |

  Scenario: A changed trace is detected
    When the trace "lost" is replayed with "partial" changed to "answered"
    Then a difference is reported with file and line

  Scenario: A malformed line is reported with its number
    Then a trace of "x" has a finding in line 2
