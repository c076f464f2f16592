@fleet
Feature: The users' platform
  Three instances against a stand-in of the store and of the backend servers.

  Scenario: A gathered request is answered with the greatest records of all parts
    When the caller finds "a" at instance 1
    Then the status is 200
    And the answer names 4 parts and 0 missing ones
    And the body holds the 5 greatest records of the parts named

  Scenario: A plain request is passed on and back unchanged
    When the caller sends "POST" "/record/x/../y%2F?q=a&b" with the body "some bytes"
    Then the status is 200
    And the server saw "POST" "/record/x/../y%2F?q=a&b" with the body "some bytes"
    And the server saw the header "X-Own" as "kept as sent"
    And the server did not see the header "Expect"
    And the server saw a time left of at most 2000 ms
    And the answer has the header "X-Extra" as "kept"
    And the answer has the server's own proof

  Scenario: Operators see that all instances have the same tables in force
    When the operator asks all instances for their status
    Then the command's exit code is 0
    And the status names "op/config" at 3 instances

  Scenario: A path that no route takes is not found
    When the caller sends "GET" "/nothing/"
    Then the status is 404
    When the caller sends "GET" "/find"
    Then the status is 404

  Scenario: A new route is in force everywhere, and is gone when it is taken out
    When the operator adds the route "/new/"
    Then "/new/x" is answered 200 at the instances 1 to 3 within 3 s
    When the operator publishes without it
    Then "/new/x" is answered 404 at the instances 1 to 3 within 3 s

  Scenario: The index is cut into another set of shards
    When the operator names the shards "epsilon, zeta"
    Then in the end a gathered answer names the shards "epsilon, zeta"
    And in between all answers named one set of shards

  Scenario Outline: A faulty answer is not passed on, and the other server is asked
    Given the server "records-a" has the fault "<fault>"
    When the caller sends 12 requests "GET" "/record/x"
    Then all statuses are 200
    And all answers are whole and from the server "records-b"

    Examples:
      | fault        |
      | foreign_id   |
      | truncated    |
      | lost         |
      | shed         |
      | wrong_server |
      | encoded      |
      | no_proof     |
      | not_http     |

  Scenario: An answer that cannot be enough any more is given up at once
    Given the servers work for 700 ms
    And the server "alpha-a" has the fault "shed"
    And the server "alpha-b" has the fault "shed"
    And the server "beta-a" has the fault "shed"
    And the server "beta-b" has the fault "shed"
    When the caller finds "a" at instance 1
    Then the status is 502
    And the answer came within 500 ms

  Scenario: Work that may not be repeated runs once when an answer is lost
    Given the server "records-a" has the fault "lost"
    And the server "records-b" has the fault "lost"
    When the caller sends 4 requests "POST" "/order/x"
    Then all statuses are 502
    And each request has run once

  Scenario: Work that may not be repeated goes elsewhere after a proof that it did not run
    Given the server "records-a" has the fault "shed"
    When the caller sends 8 requests "POST" "/order/x"
    Then all statuses are 200
    And each request has run once

  Scenario: A refusal says truly that nothing ran
    Given the server "records-a" has the fault "shed"
    And the server "records-b" has the fault "shed"
    When the caller sends "POST" "/order/x" with the body "boat"
    Then the status is 503
    And the answer tells when to come again
    And the request has not run

  Scenario: A server that leaves gets nothing new
    When the server "records-a" registers as "draining"
    And 1000 ms have passed
    And the caller sends 12 requests "GET" "/record/x"
    Then all statuses are 200
    And the server "records-a" has seen none of them

  @known_red
  Scenario: An entry that was removed names no server, and one that is back does
    When the server "records-a" registers as "removed"
    And 1000 ms have passed
    And the caller sends 12 requests "GET" "/record/x"
    Then the server "records-a" has seen none of them
    When the server "records-a" registers as "ready"
    And 5500 ms have passed
    And the caller sends 12 requests "GET" "/record/x"
    Then the server "records-a" has seen some of them

  Scenario: Entries that cannot be read name no server, and the others hold
    When the store gets the entry "i-odd" with "{\"Service\": 3}"
    And the store gets the entry "i-odder" with "no json"
    And the operator adds the route "/new/"
    Then "/new/x" is answered 200 at the instances 1 to 3 within 3 s
    And a log tells of the entry "i-odd"

  Scenario: The store forgets its history
    When the store forgets its history
    And the operator adds the route "/new/"
    Then "/new/x" is answered 200 at the instances 1 to 3 within 3 s

  Scenario Outline: The store is away for a while
    When the store has the fault "<fault>" for 2500 ms
    And the caller sends 6 requests "GET" "/record/x"
    Then all statuses are 200
    When the operator adds the route "/new/"
    Then "/new/x" is answered 200 at the instances 1 to 3 within 6 s

    Examples:
      | fault  |
      | refuse |
      | reset  |
      | silent |

  Scenario: A caller that leaves ends the servers' work
    Given the servers work for 1500 ms
    When the caller finds "b" at instance 2 and leaves after 100 ms
    Then the servers' work on it ends within 500 ms

  Scenario: An instance that is told to end cuts nothing
    Given the servers work for 300 ms
    When callers ask at instance 3 while it is told to end
    Then none of them was cut
    And instance 3 has ended by itself
