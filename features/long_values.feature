Feature: A value of another writer stops neither the other values nor a stream
  The store takes values of any bytes, up to a length that is its own, from any writer.

  # Guards against a long value of another writer that keeps the tables from spreading.
  Scenario Outline: A configuration that comes with a long value of another writer reaches the other instance
    Given two connected instances with the configuration 1
    When instance "new" reads the configuration 2 and the value "<key>" of <length> bytes
    Then the configuration 2 is in force at both instances
    And both instances have the same digest
    And no message was longer than 2000 bytes

    Examples:
      | key         | length  |
      | servers/odd | 1030000 |
      | servers/odd | 5000000 |
      | other/key   | 1030000 |

  # Guards against a long configuration that the store accepts and peers refuse.
  Scenario: A configuration as long as the store accepts spreads
    Given two connected instances with the configuration 1
    When instance "new" reads the configuration 2, of 1048576 bytes that cannot be compressed
    Then the configuration 2 is in force at both instances
    And both instances have the same digest

  # Guards against a server that stays in force after another writer has replaced its item.
  Scenario: A long value takes the place of a server's item
    Given two connected instances with the configuration 1
    And the server "kept" and the server "spoiled" are in force at both
    When instance "new" reads the value "servers/spoiled" of 5000000 bytes
    Then only the server "kept" is in force at both instances
    When instance "new" reads the item of the server "spoiled" again
    Then the server "kept" and the server "spoiled" are in force at both

  # Guards against one value that cannot be read and takes the others of its message with it.
  Scenario Outline: A peer's value that cannot be read affects only itself
    Given two connected instances with the configuration 1
    When instance "new" receives the server "good" and the value "servers/odd", <defect>
    Then the server "good" is in force at "new"
    When instance "new" hears of the same value for 10 s
    Then it has requested it 0 times
    When instance "new" hears of a later value of "servers/odd"
    Then it has requested it 1 time

    Examples:
      | defect             |
      | cut off            |
      | of no known format |
      | of 5000000 bytes   |
      | that is no text    |

  # Guards against a first start at which all values travel in one message beyond the frame's limit.
  Scenario: The values of 33000 servers travel in several messages
    Given two instances that are not connected
    When instance "new" reads the configuration 1 and the items of 33000 servers, and is connected
    Then both instances have the same digest
    And no message was longer than 2100000 bytes

  # Guards against a stream that ends because of a message that the other side does not accept.
  Scenario: A message that is too long is not sent, and the stream goes on
    Given a stream between two instances whose frames have at most 100000 bytes
    When a message of 200000 bytes and then a short one are sent on it
    Then the first was refused, and the other side has received the second

  # Guards against a part of a shard that is too long for a message, and an entry that waits for it.
  Scenario: A reply that is too long for a message is replaced by one that says so
    When a reply with a part and a response of 9000000 bytes cannot be sent
    Then a reply is sent in its place whose part has failed, though it may have run
