Feature: A red run ends with a report of its failures
  The output of a run with the formatter "progress" names only the scenario that failed.

  Scenario Outline: What was expected and seen, the promises, requests and logs of a failure
    Given a run of tests with a scenario whose step fails with
      """
      exit status 1
      logs in /tmp/monsoonhoist-fleet-x
      TWICE: c3-0-28 ran at [1.0, 2.0]
      """
    Then its report contains "<text>"

    Examples:
      | text                                           |
      | 1. features/sample.feature:2  A scenario       |
      | expected: Then it holds                        |
      | seen: ASSERT FAILED: exit status 1             |
      | broken promises: TWICE: c3-0-28 ran at         |
      | requests: r-1, r-2                             |
      | logs: /tmp/monsoonhoist-fleet-x, /tmp/folder-1 |

  Scenario: A deployment that does not start is reported
    Given a run of tests with a deployment that does not start
    Then its report contains "address already in use"

  Scenario: A run without failures has no report
    Given a run of tests without failures
    Then its report is empty
