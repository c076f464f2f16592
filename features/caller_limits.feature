Feature: Limits on what callers hold
  Decisions without a network, with crowds of callers as in features/untrusted_callers.feature.

  # Guards against crowds that each stay small: 150 callers of 2 MB on a machine of 160 MB.
  Scenario: A crowd of stalled bodies stays within the account, and small requests are not ended
    Given the account of the callers on a machine of 160 MB
    When 150 callers have each sent 2000000 bytes in pieces, and 20 others 3000 bytes
    Then the account has never held more than 25000000 bytes
    And none of the 20 callers has been ended

  Scenario Outline: The accounts follow from the memory of the machine
    Then the accounts on a machine of <memory> MB have <callers> bytes for callers and <servers> for servers

    Examples:
      | memory | callers   | servers  |
      | 0      | 33554432  | 67108864 |
      | 64     | 8388608   | 8388608  |
      | 152    | 23000000  | 23000000 |
      | 552    | 123000000 | 67108864 |

  # Guards against a crowd that takes the connections of callers whose requests are in progress.
  Scenario: Of too many connections, the one waited for longest is closed
    Given at most 3 open connections
    When the connections "a", "b" and "c" are opened, and "a" begins a request
    And the connection "d" is opened
    Then "b" is to be closed
    When "b" is closed, and the request of "a" is answered
    And the connection "e" is opened
    Then "c" is to be closed
    When "c" is closed, and "a", "d" and "e" begin requests
    And the connection "f" is opened
    Then "f" is to be closed

  Scenario: Connections leave descriptors for servers and others
    Then of 1535 descriptors, callers get 667 and idle connections to servers 534

  # Guards against bodies that are held for servers that do not read them.
  Scenario: Bodies that are sent slowly are limited together, and a shared one counts once
    Given calls to servers that may hold 100000 bytes together
    When 10 calls of one request send the same body of 40000 bytes
    Then the calls hold 40000 bytes
    When a call with a body of 50000 bytes starts, and one with 20000 bytes
    Then only the call with 50000 bytes is ended
    When all calls have ended
    Then the calls hold 0 bytes

  # Guards against callers whose long ids fill the buffer of log lines.
  Scenario: A long id is cut in the log
    When a line with an id of 2000000 characters is logged
    Then the line has at most 1500 characters

  # Guards against crowds at many instances, whose bodies all wait at the owner of one shard.
  Scenario: An owner limits the bodies that it holds for other instances
    Given an owner without free servers that may hold 100000 bytes for other instances
    When requests "a", "b" and "c" of another instance with bodies of 40000 bytes arrive
    Then only "c" is refused, as "queue_full", and it has not run
    When a request "d" of another instance without a body arrives
    And a request "e" of its own with a body of 80000 bytes arrives
    Then none is refused
    When the caller of "a" has left, and "f" with a body of 40000 bytes arrives
    Then none is refused
