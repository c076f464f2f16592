@fleet
Feature: The users' platform
  Three instances use stand-ins for the store and for the backend servers.

  Scenario: A gathered request is answered with the greatest records of all parts
    When the caller searches for "a" at instance 1
    Then the status is 200
    And the answer reports 4 parts and 0 missing parts
    And the body contains the 5 greatest records of the reported parts

  Scenario: A plain request and its answer are forwarded unchanged
    When the caller sends "POST" "/record/x/../y%2F?q=a&b" with the body "some bytes"
    Then the status is 200
    And the server received "POST" "/record/x/../y%2F?q=a&b" with the body "some bytes"
    And the server received the header "X-Own" with the value "kept as sent"
    And the server did not receive the header "Expect"
    And the server received a remaining time of at most 2000 ms
    And the answer has the header "X-Extra" with the value "kept"
    And the answer contains the server's proof for this request

  # Guards against libcurl's normalization of paths, which changed the case of percent-encoded bytes
  # and dropped what follows a "#".
  Scenario Outline: Path and query reach the server as they were received
    When the caller sends "GET" "<target>"
    Then the status is 200
    And the server received "GET" "<target>" without a body

    Examples:
      | target                    |
      | /record/z%c3%bcri%2f0     |
      | /record/%7e%41/?q=%c3%BC  |
      | /record/a#b?c             |
      | /record//x/./../[1]?{2}   |

  # Guards against own answers to HEAD that close the connection instead of being sent.
  Scenario: HEAD requests are answered, also by the instance itself
    When the caller sends "HEAD" "/record/x"
    Then the status is 200
    And the answer has the header "Content-Length" with the value "192"
    When the caller sends "HEAD" "/nothing/"
    Then the status is 404
    When the caller sends "HEAD" "/find/a"
    Then the status is 200
    And the answer reports 4 parts and 0 missing parts
    Given the servers work for 3000 ms
    When the caller sends "HEAD" "/record/x"
    Then the status is 504
    And the readiness check of instance 1 by "HEAD" has the status 200

  Scenario: Operators see that all instances have the same tables in force
    When the operator requests the status of all instances
    Then the command's exit code is 0
    And the status lists "op/config" at 3 instances

  Scenario: A path that matches no route is not found
    When the caller sends "GET" "/nothing/"
    Then the status is 404
    When the caller sends "GET" "/find"
    Then the status is 404

  Scenario: A new route takes effect everywhere and ends when it is removed
    When the operator adds the route "/new/"
    Then "/new/x" is answered with 200 at the instances 1 to 3 within 3 s
    When the operator publishes the configuration without it
    Then "/new/x" is answered with 404 at the instances 1 to 3 within 3 s

  Scenario: The index is repartitioned into another set of shards
    When the operator changes the shards to "epsilon, zeta"
    Then eventually a gathered answer reports the shards "epsilon, zeta"
    And meanwhile no answer mixed shards of the two sets

  Scenario Outline: A faulty answer is not forwarded, and the other server is called
    Given the server "records-a" has started again, with the fault "<fault>"
    When the caller sends 12 requests "GET" "/record/x"
    Then the server "records-a" has received some of them
    And all statuses are 200
    And all answers are complete and from the server "records-b"

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
      | cut_head     |
      | endless_head |
      | endless_body |
      | interim_status |

  # Guards against answers with one spoiled byte in the head, which were never sent to the caller.
  Scenario Outline: An answer with a spoiled header field is not forwarded, and the other server is called
    Given the server "records-a" has started again, with the fault "<fault>"
    When the caller sends 12 requests "GET" "/record/x"
    Then the server "records-a" has received some of them
    And all statuses are 200
    And all answers are complete and from the server "records-b"

    Examples:
      | fault            |
      | control_in_value |
      | space_in_name    |
      | no_colon         |

  # Guards against callers who wait for ever because every answer to them has a spoiled byte.
  Scenario Outline: A request whose only answers have a spoiled header field is answered with a failure
    Given the server "records-a" has the fault "<fault>"
    And the server "records-b" has the fault "<fault>"
    When the caller sends 4 requests "POST" "/order/x"
    Then all statuses are 502
    And each request has run once
    When the caller sends 4 requests "GET" "/record/x"
    Then all statuses are 502

    Examples:
      | fault            |
      | control_in_value |
      | space_in_name    |

  # Guards against one spoiled proof of a part that keeps the whole answer from being sent.
  Scenario Outline: A part with a spoiled proof is taken from the shard's other server
    Given the server "alpha-a" has started again, with the fault "<fault>"
    And the server "alpha-b" works for 60 ms
    When the caller sends 12 requests "GET" "/find/a"
    Then the server "alpha-a" has received some of them
    And all statuses are 200
    And no answer lists a proof of the server "alpha-a"

    Examples:
      | fault            |
      | control_in_value |
      | control_in_proof |
      | comma_in_proof   |

  Scenario: A second copy of a reply on a connection that is reused is not taken for another reply
    Given the server "records-a" has started again, with the fault "second_copy"
    When the caller sends 24 requests "GET" "/record/x"
    Then the server "records-a" has received some of them
    And all statuses are 200
    And each answer contains the server's proof for its request

  # Guards against trailer fields that are taken for a head that was cut off.
  Scenario: A reply in chunks with a trailer field is forwarded
    Given the server "records-a" has started again, with the fault "trailer"
    And the server "records-b" works for 60 ms
    When the caller sends 12 requests "GET" "/record/x"
    Then the server "records-a" has received some of them
    And all statuses are 200
    And each answer contains the server's proof for its request
    When the caller sends 12 requests "POST" "/order/x"
    Then the server "records-a" has received some of them
    And all statuses are 200
    And each answer contains the server's proof for its request
    And each request has run once

  Scenario: A server that says that it is leaving receives nothing, whatever the store says
    Given the server "records-a" has started again, with the fault ""
    And the server "records-a" says that it is leaving
    When the caller sends 24 requests "GET" "/record/x"
    And the state of "records-a" in the store becomes "draining"
    And the state of "records-a" in the store becomes "removed"
    And the state of "records-a" in the store becomes "ready"
    And the store discards its history
    And 1000 ms have passed
    And the caller sends 12 requests "GET" "/record/x"
    Then all statuses are 200
    And the server "records-a" has received none of them
    When the server "records-a" starts again
    And 1000 ms have passed
    And the caller sends 24 requests "GET" "/record/x"
    Then the server "records-a" has received some of them

  Scenario: A request fails immediately when its minimum coverage can no longer be reached
    Given the servers work for 700 ms
    And the server "alpha-a" has the fault "shed"
    And the server "alpha-b" has the fault "shed"
    And the server "beta-a" has the fault "shed"
    And the server "beta-b" has the fault "shed"
    When the caller searches for "a" at instance 1
    Then the status is 502
    And the answer arrived within 500 ms

  # Guards against resends by libcurl on kept connections, which no budget allowed and no one counted.
  Scenario Outline: Each lost answer is one attempt of a repeatable request, and is counted
    When the caller sends 12 requests "GET" "/record/x"
    And the metrics of instance 1 are read
    Given the server "records-a" has the fault "<fault>"
    And the server "records-b" has the fault "<fault>"
    When the caller sends "GET" "/record/x"
    Then the status is 502
    And the request was received 2 times
    And instance 1 has counted 2 more calls whose connection was lost

    Examples:
      | fault |
      | lost  |
      | reset |

  Scenario: A non-repeatable request runs once when its answer is lost
    Given the server "records-a" has the fault "lost"
    And the server "records-b" has the fault "lost"
    When the caller sends 4 requests "POST" "/order/x"
    Then all statuses are 502
    And each request has run once

  Scenario: A non-repeatable request is retried elsewhere after a confirmation that it did not run
    Given the server "records-a" has the fault "shed"
    When the caller sends 8 requests "POST" "/order/x"
    Then all statuses are 200
    And each request has run once

  Scenario: A refused request has not run at any server
    Given the server "records-a" has the fault "shed"
    And the server "records-b" has the fault "shed"
    When the caller sends "POST" "/order/x" with the body "boat"
    Then the status is 503
    And the answer states when to retry
    And the request has not run

  Scenario: A draining server receives no new requests
    When the state of "records-a" in the store becomes "draining"
    And 1000 ms have passed
    And the caller sends 12 requests "GET" "/record/x"
    Then all statuses are 200
    And the server "records-a" has received none of them

  Scenario: A server receives no requests while its item is removed from the store, and some after it is back
    When the state of "records-a" in the store becomes "removed"
    And 1000 ms have passed
    And the caller sends 12 requests "GET" "/record/x"
    Then the server "records-a" has received none of them
    When the state of "records-a" in the store becomes "ready"
    And 5500 ms have passed
    And the caller sends 12 requests "GET" "/record/x"
    Then the server "records-a" has received some of them

  Scenario: Malformed items of the store are ignored, and the others stay in force
    When the server item "i-odd" with the value "{\"Service\": 3}" is written to the store
    And the server item "i-odder" with the value "no json" is written to the store
    And the operator adds the route "/new/"
    Then "/new/x" is answered with 200 at the instances 1 to 3 within 3 s
    And an instance has logged a finding about the server item "i-odd"

  # Guards against changes of other writers that are longer than a reply may be.
  Scenario: A configuration that changes together with long items of other writers takes effect
    When 9 items of 1000000 bytes of other writers are written, and the operator adds the route "/new/"
    Then "/new/x" is answered with 200 at the instances 1 to 3 within 3 s
    When 9 items of 1000000 bytes of other writers are written, and the operator adds the route "/newer/"
    Then "/newer/x" is answered with 200 at the instances 1 to 3 within 3 s

  Scenario: The store discards its history
    When the store discards its history
    And the operator adds the route "/new/"
    Then "/new/x" is answered with 200 at the instances 1 to 3 within 3 s

  Scenario: The zone of all servers is evacuated and put back in service
    When the operator evacuates the zone "z1"
    Then "/record/x" is answered with 503 at the instances 1 to 3 within 3 s
    When the operator requests the status of all instances
    Then the status lists "op/evacuate/z1" at 3 instances
    And the status says that the zone "z1" is evacuated
    When the caller sends "GET" "/record/x"
    Then the answer states when to retry
    And the answer arrived within 500 ms
    And the request has not run
    When the caller sends "GET" "/find/x"
    Then the status is 503
    And the request has not run
    When the store discards its history
    And the operator puts the zone "z1" back in service
    Then "/record/x" is answered with 200 at the instances 1 to 3 within 3 s
    And an instance has logged "zone evacuated" and "zone back in service"

  Scenario Outline: The store is unavailable for a while
    When the store has the fault "<fault>" for 2500 ms
    And the caller sends 6 requests "GET" "/record/x"
    Then all statuses are 200
    When the operator adds the route "/new/"
    Then "/new/x" is answered with 200 at the instances 1 to 3 within 6 s

    Examples:
      | fault  |
      | refuse |
      | reset  |
      | silent |

  Scenario: The servers' work ends when the caller disconnects
    Given the servers work for 1500 ms
    When the caller searches for "b" at instance 2 and disconnects after 100 ms
    Then the servers' work on it ends within 500 ms

  Scenario: An instance that receives SIGTERM completes its requests
    Given the servers work for 300 ms
    When callers send requests to instance 3 while it receives SIGTERM
    Then no request in progress was interrupted
    And instance 3 has exited with code 0
