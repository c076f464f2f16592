Feature: Layers and size of the program's modules

  Scenario: Only the platform's folder contains the platform's wire names
    Then no module outside "platform" contains one of the names
      | name              |
      | X-Server-Stamp    |
      | X-Part-Stamps     |
      | X-Missing-Parts   |
      | X-Not-Run         |
      | X-Target-Instance |
      | X-Deadline-Ms     |
      | X-Backend-Load    |
      | X-Instance        |
      | kv-watch          |
      | kv-range          |
      | MinShardShare     |
      | min_shard_share   |
      | Gather"           |
      | TopK              |
      | top_k             |
      | WarmupLeftMs      |
      | WarmupPerS        |
      | X-Cold-Ms         |
      | Store-Era         |
      | op/config         |
      | servers/          |
      | /api/ready        |

  Scenario: The platform's folder is a small part of the program
    Then "platform" contains less than 10% of the lines of the program

  Scenario: Decisions do no I/O and import no sockets
    Then no module in "core, policy, protocol, overload, fleet, queries, shards, kernels" imports one of
      | module                 |
      | asyncio                |
      | socket                 |
      | tornado                |
      | pycurl                 |
      | monsoonhoist.node      |
      | monsoonhoist.platform  |
      | monsoonhoist.settings  |

  Scenario: Imports go one way
    Then each folder or module imports only those before it in this list
      | name        |
      | core        |
      | addresses   |
      | errors      |
      | decoding    |
      | policy      |
      | protocol    |
      | overload    |
      | fleet       |
      | queries     |
      | shards      |
      | kernels     |
      | tables      |
      | metrics     |
      | export      |
      | logs        |
      | explanation |
      | settings      |
      | settings_file |
      | node        |
      | platform    |
      | client      |
      | serve       |
      | cli         |
      | __main__    |

  Scenario: No module has more than 400 lines
    Then each module has at most 400 lines
