Feature: Settings and tables are checked before they are used
  All findings are reported at once, each with file, line and section.

  Scenario: Settings with several errors
    Given a file "node.ini" with
      """
      [instance]
      name = a b
      zone = z
      host = 999.1.1.1
      http_port = 1
      peer_port = 2
      colour = red
      [timing]
      silence_ms = 100
      [extra]
      """
    When the operator checks "--settings node.ini"
    Then the exit code is 1
    And the findings are
      | place        | words                                  |
      | node.ini:2:  | [instance] name                        |
      | node.ini:1:  | [instance] deployment: Field required  |
      | node.ini:4:  | [instance] host                        |
      | node.ini:7:  | [instance] colour                      |
      | node.ini:0:  | [platform] is missing                  |
      | node.ini:8:  | silence_ms must be at least twice      |
      | node.ini:10: | no such section                        |

  Scenario: Routes with errors, and a route whose pool is not given
    Given a file "routes.ini" with
      """
      [route x]
      rank = fast
      pool = nowhere
      deadline_ms = 5
      [route y]
      rank = urgent
      pool = nowhere
      deadline_ms = 100
      [oops]
      """
    And a file "pool.ini" with
      """
      [pool]
      key_space = 100
      [server a]
      service = s
      address = 127.0.0.1:1
      zone = z
      slots = 4
      connections = 2
      """
    When the operator checks "--routes routes.ini --pool here=pool.ini"
    Then the exit code is 1
    And the findings are
      | place         | words                                       |
      | pool.ini:3:   | connections must not be fewer than slots    |
      | routes.ini:2: | [route x] rank                              |
      | routes.ini:4: | [route x] deadline_ms: must be from 10 to    |
      | routes.ini:9: | sections must be named [route NAME]         |
      | routes.ini:0: | the pool 'nowhere' is not among             |

  Scenario: Zones are checked before they are evacuated
    Given a file "pool.ini" with
      """
      [pool]
      key_space = 100
      [server a]
      service = s
      address = 127.0.0.1:1
      zone = z1
      slots = 2
      connections = 2
      [server b]
      service = t
      address = 127.0.0.1:2
      zone = z2
      slots = 2
      connections = 2
      """
    When the operator checks "--pool here=pool.ini --evacuated z1 --evacuated z9"
    Then the exit code is 1
    And the findings are
      | place        | words                                                      |
      | evacuate/z9: | no pool has a server in it                                 |
      | pool/here:   | all servers of the shard 's' are in zones to be evacuated  |

  Scenario Outline: The examples have no findings
    When the operator checks the example "<example>"
    Then the exit code is 0

    Examples:
      | example        |
      | zurichsee      |
      | tasmania-south |
