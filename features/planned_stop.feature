@fleet
Feature: A planned stop of an instance cuts no request
  The instance receives SIGTERM and is killed 6 s later. Load balancers go on sending requests for
  2 s. The routes' timeout is 20 s.

  # Guards against requests that come late in the grace, are passed on and end without an answer.
  Scenario Outline: Slow requests are answered before the instance ends
    Given routes with a timeout of 20 s, and servers that work for 30 s
    When "<type>" requests are sent to instance 3 from 500 ms before its SIGTERM until 2000 ms after
    Then each request was answered with one of "<statuses>"
    And no request that was answered with 503 has run
    And no request has run twice
    And instance 3 has exited with code 0 within 6 s

    Examples:
      | type           | statuses    |
      | idempotent     | 502 503 504 |
      | non_idempotent | 503 504     |

  # Guards against requests that must not run twice and are taken although their time outlasts the grace.
  Scenario: A late request that must not run twice is refused if its time does not fit into the grace
    Given routes with a timeout of 20 s, and servers that work for 100 ms
    When "non_idempotent" requests are sent to instance 3 from 100 ms after its SIGTERM until 2000 ms after
    Then each request was answered with one of "503"
    And no request that was answered with 503 has run
    And instance 3 has exited with code 0 within 6 s

  Scenario Outline: Late requests whose time fits into the grace are served
    Given routes with a timeout of 2 s, and servers that work for 100 ms
    When "<type>" requests are sent to instance 3 from 100 ms after its SIGTERM until 2000 ms after
    Then each request was answered with one of "200"
    And instance 3 has exited with code 0 within 6 s

    Examples:
      | type           |
      | idempotent     |
      | non_idempotent |

  # Guards against answers that are cut because their caller reads slowly.
  Scenario: A long answer that is being sent when nothing else is left to do arrives whole
    Given routes with a timeout of 2 s, and servers that work for 300 ms
    And the servers' responses have 6000000 bytes
    When a caller sends a request to instance 3 2000 ms after its SIGTERM, and reads from 2800 ms on
    Then the answer has 6000000 bytes
    And instance 3 has exited with code 0 within 6 s
