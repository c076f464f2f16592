@site_three
Feature: Broken replies of servers of the native dialect
  A reply whose head is spoiled, or whose body is not what the head says, counts for no shard.

  Scenario Outline: A shard whose servers send broken replies is missing from the answer
    Given the servers "allocator-05-a" and "allocator-05-b" send replies with the fault "<fault>"
    When the caller queries route "boat-search" at instance 1 for "double scull"
    Then the reason is "malformed_reply" and the outcome "partial"
    And the shard "allocator-05" is missing from the coverage

    Examples:
      | fault                     |
      | length: first digit blank |
      | length: 0                 |
      | CR line before length     |
      | two LF in value           |
      | LF without CR             |
      | status 2000               |
      | status 101                |
      | status 600                |
      | HTTP/1.1 as a field       |
      | coding twice              |
      | length beyond 64 bits     |
      | LF after chunk size       |
      | bytes after body          |
      | status 000                |
      | blank in name             |

  # Guards against a reset that counts as the end of a body without a length.
  Scenario Outline: A shard whose servers break off their replies is missing from the answer
    Given the servers "allocator-05-a" and "allocator-05-b" send replies with the fault "<fault>"
    When the caller queries route "boat-search" at instance 1 for "double scull"
    Then the reason is "connection_lost" and the outcome "partial"
    And the shard "allocator-05" is missing from the coverage

    Examples:
      | fault                               |
      | no length, none of it, reset        |
      | no length, all of it, reset         |
      | no length, all of it, reset at once |
      | a length, half of it, closed        |
      | chunks, all of it, reset            |
