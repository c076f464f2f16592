Feature: The platform's configuration is checked before it is sent
  Guards against a configuration that every instance accepts and in which requests still fail: an
  entry that no request reaches, limits that exclude each other, a change that was not meant.

  Background:
    Given a file "clean.json" with
      """
      {"Version": 7,
       "Routes": [
        {"Name": "find", "Host": "h", "Prefix": "/find/", "Type": "idempotent", "TimeoutMs": 500,
         "GoalMs": 50, "Attempts": 2, "Gather": ["s1", "s2", "s3", "s4"], "TopK": 5,
         "MinShardShare": 0.75},
        {"Name": "order", "Host": "h", "Prefix": "/order/", "Type": "non_idempotent",
         "TimeoutMs": 500, "Service": "s5"}],
       "Services": [{"Name": "s1"}, {"Name": "s2"}, {"Name": "s3"}, {"Name": "s4"},
        {"Name": "s5", "MaxConns": 8}],
       "Limits": {"MaxBodyBytes": 262144}}
      """

  Scenario: A configuration without findings, also against itself
    When the operator checks "--config clean.json --against clean.json"
    Then the exit code is 0
    And the findings are
      | place | words |

  Scenario: Entries that never match and limits that contradict each other
    Given a file "new.json" with
      """
      {"Version": 8,
       "Routes": [
        {"Name": "a", "Host": "h", "Prefix": "/a/", "Type": "idempotent", "TimeoutMs": 40,
         "GoalMs": 50, "Service": "s1"},
        {"Name": "b", "Host": "h", "Prefix": "/a/", "Type": "x", "TimeoutMs": 40, "Service": "gone"},
        {"Name": "c", "Host": "h", "Prefix": "/c", "Type": "x", "TimeoutMs": 40, "Attempts": 0,
         "Split": [{"Service": "s1", "Weight": 1}, {"Service": "lost", "Weight": 1}]},
        {"Name": "d", "Host": "h", "Prefix": "/d/", "Type": "x", "TimeoutMs": 40, "Attempts": 2,
         "Gather": ["s1", "s2", "missing"], "MinShardShare": 0.7},
        {"Name": "e", "Host": "h", "Prefix": "/e/", "Type": "x", "TimeoutMs": 40},
        {"Name": "e", "Host": "h", "Prefix": "/f/", "Type": "x", "TimeoutMs": 0, "Service": "s1"}],
       "Services": [{"Name": "s1"}, {"Name": "s2", "MaxConns": 0}, {"Name": "s3"}]}
      """
    When the operator checks "--config new.json"
    Then the exit code is 1
    And the findings are
      | place       | words                                                                       |
      | new.json:0: | [route e] error: TimeoutMs is not above 0                                   |
      | new.json:0: | [route e] warning: several entries have this name                           |
      | new.json:0: | [route b: Prefix] warning: the route 'a' has the same host and prefix       |
      | new.json:0: | [route c: Prefix] warning: '/c' matches no request                          |
      | new.json:0: | [route a: TimeoutMs] warning: 40 ms is below the latency goal of 50 ms      |
      | new.json:0: | [route a: Attempts] note: 1 attempt leaves no extra call                    |
      | new.json:0: | [route b] warning: the service 'gone' is not defined                        |
      | new.json:0: | [route c] warning: the service 'lost' is not defined                        |
      | new.json:0: | [route c: Attempts] error: 0 attempts                                       |
      | new.json:0: | [route d] warning: the service 'missing' is not defined                     |
      | new.json:0: | [route d: TopK] warning: 0 merged results                                   |
      | new.json:0: | [route d: MinShardShare] warning: only all 3 shards together reach 0.7      |
      | new.json:0: | [route e] warning: it names no service                                      |
      | new.json:0: | [service s2: MaxConns] warning: 0 connections                               |
      | new.json:0: | [service s3] warning: no route uses it                                      |

  Scenario: Differences from the version in force, as JSON
    Given a file "new.json" with
      """
      {"Version": 7,
       "Routes": [
        {"Name": "find", "Host": "h", "Prefix": "/find/", "Type": "idempotent", "TimeoutMs": 400,
         "GoalMs": 50, "Attempts": 2, "Gather": ["s1", "s2", "s3", "s4"], "TopK": 5,
         "MinShardShare": 0.75},
        {"Name": "sell", "Host": "h", "Prefix": "/sell/", "Type": "x", "TimeoutMs": 500,
         "Service": "s6"}],
       "Services": [{"Name": "s1"}, {"Name": "s2"}, {"Name": "s3"}, {"Name": "s4"},
        {"Name": "s6"}],
       "Limits": {"MaxBodyBytes": 1000}}
      """
    When the operator checks "--config new.json --against clean.json --json"
    Then the exit code is 0
    And the JSON findings are
      | severity   | section                | message                               |
      | warning    | configuration: Version | 7 is not above 7, the version in force |
      | difference | route find: TimeoutMs  | changed from 500.0 to 400.0           |
      | difference | route sell             | added                                 |
      | difference | service s6             | added                                 |
      | difference | limits: MaxBodyBytes   | changed from 262144 to 1000           |
      | difference | route order            | removed                               |
      | difference | service s5             | removed                               |

  Scenario Outline: Files that cannot be read or decoded are named with the place
    Given a file "bad.json" with
      """
      {"Version": 7,
       "Routes": <routes>}
      """
    When the operator checks "<arguments>"
    Then the exit code is 2
    And the findings are
      | place   | words   |
      | <place> | <words> |

    Examples:
      | routes        | arguments                              | place         | words                                |
      | [,]           | --config bad.json                      | bad.json:2:   | error: JSON is malformed             |
      | [{"Name": 3}] | --config bad.json                      | bad.json:0:   | [$.Routes[0].Name] error: Expected   |
      | [,]           | --config clean.json --against bad.json | bad.json:2:   | error: JSON is malformed             |
      | []            | --config absent.json                   | absent.json:0: | error: cannot be read               |

  Scenario: A comparison without a configuration is wrong use
    When the operator checks "--against clean.json"
    Then the exit code is 2
    And the error mentions "needs --config"

  Scenario: Without extra calls, one attempt is no finding
    Given a file "node.ini" with
      """
      [instance]
      name = a
      deployment = d
      zone = z
      host = 127.0.0.1
      http_port = 1
      peer_port = 2
      [platform]
      config_url = http://127.0.0.1:1
      instances_url = http://127.0.0.1:2
      [extra_calls]
      ratio = 0
      allowance = 0
      """
    And a file "one.json" with
      """
      {"Version": 1,
       "Routes": [{"Name": "a", "Host": "h", "Prefix": "/a/", "Type": "idempotent",
         "TimeoutMs": 40, "Service": "s1"}],
       "Services": [{"Name": "s1"}]}
      """
    When the operator checks "--settings node.ini --config one.json"
    Then the exit code is 0
    And the findings are
      | place | words |

  Scenario: The native table of routes is compared with the one in force
    Given a file "old.ini" with
      """
      [route a]
      rank = urgent
      pool = p
      deadline_ms = 100
      [route b]
      rank = urgent
      pool = p
      deadline_ms = 100
      """
    And a file "new.ini" with
      """
      [route a]
      rank = urgent
      pool = p
      deadline_ms = 200
      repeatable = yes
      [route c]
      rank = normal
      pool = p
      deadline_ms = 100
      """
    When the operator checks "--routes new.ini --against old.ini"
    Then the exit code is 0
    And the findings are
      | place      | words                                                     |
      | new.ini:0: | [route a: deadline_ms] difference: changed from 100 to 200 |
      | new.ini:0: | [route c] difference: added                               |
      | new.ini:0: | [route b] difference: removed                             |

  Scenario: A native table in force that has errors is named
    Given a file "old.ini" with
      """
      [route a]
      rank = fast
      pool = p
      deadline_ms = 100
      """
    And a file "new.ini" with
      """
      [route a]
      rank = urgent
      pool = p
      deadline_ms = 100
      """
    When the operator checks "--routes new.ini --against old.ini"
    Then the exit code is 2
    And the findings are
      | place      | words                |
      | old.ini:2: | [route a] error: rank |
