Feature: Recorded traces replay to the stated outcomes
  Each trace was recorded at an instance in a real run with a failure; beside it stand the
  answers that the callers got.

  Scenario Outline: A trace replays byte for byte
    When the trace "<trace>" is replayed
    Then no command differs
    And the answers are those that the callers got

    Examples:
      | trace    |
      | killed   |
      | stopped  |
      | lost     |
      | draining |
      | snapshot |
      | slow     |

  Scenario: A changed trace is found out
    When the trace "lost" is replayed with "partial" changed to "answered"
    Then some command differs, with file and line
