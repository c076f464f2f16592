@fleet
Feature: Servers whose responses do not end
  A faulty server sends bytes until its caller closes: in a head, in interim heads, in a line, in a
  body or after it. Many servers do so at once. A machine has 300 MB.

  # Guards against responses without end that together take the memory of the machine, so that its
  # process ends and with it the requests of all other clients.
  Scenario Outline: Responses without end from many servers are bounded for the whole process
    Given a route "/wide/" to 100 more shards, whose servers have the fault "<fault>"
    When 4 callers send "/wide/a" to instance 1 for 3 s, and another caller sends "/record/x"
    Then the memory of instance 1 has never exceeded 300 MB
    And the other caller's requests were answered with 200
    And each search was answered with 502, 503 or 504 within 2500 ms

    Examples:
      | fault            |
      | endless_head     |
      | endless_line     |
      | endless_interim  |
      | endless_fields   |
      | endless_body     |
      | endless_trailer  |

  # Guards against responses without end to requests that may not run twice.
  Scenario Outline: A request that must not run twice is answered, and its server's response ends
    Given the server "records-a" has the fault "<fault>"
    And the server "records-b" has the fault "<fault>"
    When the caller sends 4 requests "POST" "/order/x"
    Then all statuses are 502
    And each request has run once

    Examples:
      | fault            |
      | endless_head     |
      | endless_interim  |
      | endless_body     |
      | endless_trailer  |

  Scenario: The largest response makes room when all together are too long
    Given responses in progress that may hold 1000 bytes together
    When "small" receives 100 bytes, "large" 700 and "medium" 150 bytes
    And "small" receives 100 bytes more
    Then "large" is to be ended
    When "large" has ended
    And "medium" receives 500 bytes more
    Then none is to be ended
