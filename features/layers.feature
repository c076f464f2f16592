Feature: Layers of the program

  Scenario: Nothing outside its folder knows the platform's words
    Then no module outside "platform" holds one of the words
      | word              |
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
      | op/config         |
      | servers/          |
      | /api/ready        |

  Scenario: The platform's folder stays small
    Then "platform" holds less than 10 of 100 lines of the program

  Scenario: Decisions do no I/O and know no sockets
    Then no module in "core, policy" imports one of
      | module                 |
      | asyncio                |
      | socket                 |
      | tornado                |
      | pycurl                 |
      | monsoonhoist.node      |
      | monsoonhoist.platform  |
      | monsoonhoist.settings  |

  Scenario: No module has more than 400 lines
    Then each module has at most 400 lines
