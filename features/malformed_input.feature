Feature: Malformed input affects only itself
  One odd value of the store, message, ticket or file must not end a process or stop it from
  following the others.

  Scenario Outline: An odd item of a server defines no server, and the others stay in force
    Given a store with the configuration and the item of the server "good"
    When the item of the server "<id>" has the value <value>
    Then the store has a finding about "servers/<id>"
    And the servers in force are "good"
    When the item of the server "late" is valid
    Then the servers in force are "good, late"

    Examples:
      | id   | value                                             |
      | odd  | nested 100000 deep                                |
      | odd  | with Slots of 5000 digits                         |
      | odd  | with Slots 99999999999999999999                   |
      | odd  | with Addr 10.0.0.1:99999                          |
      | odd  | with Addr 10.0.0.1:0                              |
      | odd  | with Addr 10.0.0.1                                |
      | odd  | with Addr 10.0.0.999:80                           |
      | odd  | with born -1                                      |
      | odd  | with State asleep                                 |
      | a b  | of a valid server                                 |

  Scenario Outline: An odd configuration is rejected and the last good one stays
    Given a store with the configuration and the item of the server "good"
    When a configuration follows whose route has <field> <value>
    Then the store has a finding about "op/config"
    And the configuration in force is the first one
    When a valid configuration follows
    Then the configuration in force is the last one

    Examples:
      | field         | value        |
      | TimeoutMs     | 1e300        |
      | TimeoutMs     | -1           |
      | TimeoutMs     | 0            |
      | GoalMs        | 1e18         |
      | MinShardShare | 2            |
      | Attempts      | -1           |
      | Priority      | "x"          |

  Scenario: A value whose parsing fails unexpectedly affects only itself
    Given a table format that fails at the key "odd"
    When the values "a, odd, b" are offered
    Then the values "a, b" are in force
    And the store has a finding about "odd"

  Scenario: The watcher goes on after an unexpected error
    Given a reader of the configuration service that fails unexpectedly once
    When a watcher runs until it has read 2 times
    Then it has put the second value in force

  # Guards against one value of the native service that keeps all others from being read.
  Scenario Outline: A value that the configuration service cannot deliver affects only itself
    Given a configuration service with the values "a, odd, b", and a reply for "odd" <defect>
    When the service is read 2 times
    Then the values "a, b" have been read
    When "odd" can be read, and the service is read 1 time
    Then the values "a, b, odd" have been read

    Examples:
      | defect                |
      | that is not JSON      |
      | with status 404       |
      | that is too long      |

  Scenario: A configuration service that does not answer is read again as a whole
    Given a configuration service with the values "a, odd, b", and a reply for "odd" with status 503
    Then reading the service fails

  # Guards against one odd entry that makes the whole list of instances unreadable.
  Scenario: An odd entry of the instance list affects only itself
    Given an instance list with the instances "one" and "two" and 3 odd entries
    When the instance list is read
    Then it has the instances "one, two"

  Scenario Outline: No input makes a reader raise an undeclared exception
    Then no input makes the reader of "<kind>" fail

    Examples:
      | kind               |
      | server items       |
      | configurations     |
      | table values       |
      | routes             |
      | pools              |
      | settings           |
      | messages           |
      | tickets            |
      | traces             |
      | caller requests    |
      | load headers       |
      | wait headers       |
      | deadline headers   |

  Scenario: A stream to an instance that sends an odd reply is opened again
    Given a peer that answers each greeting with an odd message
    When a stream to the peer is kept for 1000 ms
    Then the peer has been connected to at least 2 times

  Scenario: Bytes to an instance that reads nothing are limited
    Given a peer that accepts streams and reads nothing after the greeting
    When messages of 10000000 bytes in all are sent to it with a limit of 1000000 bytes
    Then sending has been refused

  Scenario: An uncaught exception after the start of a request is not reported as not run
    Given a node whose queries fail with an unexpected error
    When a caller sends a request to it
    Then the outcome is "unknown" because of "internal_error"

  Scenario: A ticket that was used for an empty request is not valid for another one
    Given a ticket store
    When a ticket runs the request "" and then presents the request "other"
    Then the decision says that the ticket was used for another request

  Scenario: Expired tickets are forgotten although an older request is running
    Given a ticket store
    When a ticket starts a request, 10 more tickets are issued, and 700 s pass
    Then the next ticket leaves 2 tickets in the store
