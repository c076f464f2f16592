@fleet
Feature: Broken answers of backend servers
  A server in trouble sends answers whose head is spoiled, or whose body is not what the head says.
  None of them may reach a caller, and none of them proves anything.

  # Guards against the incident of 2026-12-07: broken answers that were forwarded as complete ones.
  Scenario Outline: A broken answer reaches no caller
    Given the servers of "records" and "alpha" send answers with the fault "<fault>"
    And they <end> each connection after an answer
    When the caller sends 3 requests "POST" "/order/x"
    Then no answer is a server's, and what is refused has not run
    And none of them has run twice
    When the caller sends 3 requests "GET" "/record/x"
    Then no answer is a server's
    When the caller sends 3 requests "GET" "/find/a"
    Then all statuses are 200
    And no answer lists a proof of the server "alpha"

    Examples: a length that is shorter than the body
      | fault                     | end   |
      | length: first digit blank | close |
      | length: first digit blank | keep  |
      | length: last digit tab    | close |
      | length: first digit 0     | close |
      | length: 0                 | close |
      | length: 0                 | keep  |

    Examples: a line whose end is wrong
      | fault                   | end   |
      | CR line before length   | close |
      | CR before length        | close |
      | LF for CR before length | close |
      | two LF in value         | close |
      | LF in value             | keep  |
      | LF without CR           | keep  |
      | CR twice                | keep  |

    Examples: a first line that is no status line
      | fault                  | end   |
      | status 2000            | close |
      | status 2000            | keep  |
      | status 200xOK          | close |
      | version 2.1            | close |
      | version 3.7            | close |
      | control byte in reason | keep  |
      | LF after reason        | keep  |

    Examples: a status that is none of a final answer
      | fault      | end   |
      | status 101 | close |
      | status 101 | keep  |
      | status 600 | close |
      | status 999 | keep  |

    Examples: a later line that begins like a status line
      | fault               | end   |
      | HTTP/1.1 as a field | close |
      | second status line  | keep  |

    Examples: a head that does not say where the body ends
      | fault                 | end   |
      | coding twice          | keep  |
      | coding and length     | keep  |
      | length beyond 64 bits | close |

    Examples: a body that is not in valid chunks
      | fault                 | end  |
      | LF after chunk size   | keep |
      | LF after chunk        | keep |
      | blank in trailer name | keep |

    Examples: bytes after the body
      | fault              | end   |
      | bytes after body   | close |
      | bytes after body   | keep  |
      | bytes after chunks | close |
      | bytes after chunks | keep  |
      | body of status 204 | keep  |

    # Guards against a reset that counts as the end of a body without a length.
    Examples: an answer that is broken off
      | fault                                | end   |
      | no length, none of it, reset         | close |
      | no length, half of it, reset         | close |
      | no length, all of it, reset          | close |
      | no length, half of it, reset at once | close |
      | a length, half of it, reset          | close |
      | a length, half of it, closed         | close |
      | chunks, half of it, reset            | close |
      | chunks, half of it, closed           | close |

    Examples: refused before the incident
      | fault                | end   |
      | status 000           | close |
      | status 000           | keep  |
      | blank in name        | keep  |
      | control byte in name | keep  |

  # Guards against parts that count as whole although they were broken off.
  Scenario Outline: A gathered answer covers no part that was broken off
    Given the servers of "records" and "alpha" send answers with the fault "<fault>"
    When the caller sends 6 requests "GET" "/find/a"
    Then no answer lists a proof of the server "alpha"

    Examples:
      | fault                                |
      | no length, none of it, reset         |
      | no length, half of it, reset         |
      | no length, all of it, reset          |
      | no length, half of it, reset at once |
      | a length, half of it, closed         |
      | chunks, all of it, closed            |
      | status 000                           |

  # Guards against broken refusals that are taken for a proof.
  Scenario Outline: A broken answer does not prove that a request has not run
    Given the servers of "records" and "alpha" send answers with the fault "<fault>"
    And they say of each request that it has not run
    When the caller sends 3 requests "POST" "/order/x"
    Then no answer is a server's, and what is refused has not run
    And none of them has run twice

    Examples:
      | fault                        |
      | CR twice                     |
      | version 2.1                  |
      | bytes after body             |
      | two lengths                  |
      | no length, half of it, reset |
      | a length, half of it, closed |

  # Guards against a server that counts as leaving because a broken answer says so.
  Scenario Outline: What a broken answer says of its server is not believed
    Given the server "records-a" has started again, with the fault "<fault>"
    And the server "records-a" says that it is leaving
    When the caller sends 12 requests "GET" "/record/x"
    Then the server "records-a" has received some of them
    When the server "records-a" answers as usual
    And 6000 ms have passed
    And the caller sends 24 requests "GET" "/record/x"
    Then the server "records-a" has received some of them

    Examples:
      | fault            |
      | LF without CR    |
      | two lengths      |
      | no colon         |
      | bytes after body |

  Scenario: A broken answer is logged with its request, and counted
    Given the server "records-a" has started again, with the fault "LF without CR"
    When the caller sends 24 requests "GET" "/record/x"
    Then all statuses are 200
    And the log names the defect "line end" of the server "records-a" and one of the requests
    When the metrics of instance 1 are read
    Then "monsoonhoist_responses_not_accepted_total" with "defect=line end" is at least 1
