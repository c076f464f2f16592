Feature: Untrusted callers
  A crowd of callers makes an instance hold as much as it can: bodies, heads, responses that are
  not read, connections. The process stays alive and within its memory and descriptors, and serves
  the next ordinary request while the crowd is still connected.

  # Guards against a process that holds what callers send beyond the configured limit of bodies.
  @fleet_untrusted
  Scenario Outline: Bodies over the limit are not stored
    When 40 callers of instance 1 send 15000000 bytes of a body that is <kind> to "/record/x"
    Then the process has stayed below 160 MB and 400 descriptors
    And the fleet answers an ordinary request with 200

    Examples:
      | kind      |
      | announced |
      | chunked   |

  # Guards against many bodies within the limit that are never completed.
  @fleet_untrusted
  Scenario: Bodies within the limit that stall are limited together
    Given callers may send bodies of 2000000 bytes
    When 150 callers of instance 1 send 1999000 bytes of a body that is within to "/record/x"
    Then the process has stayed below 160 MB and 400 descriptors
    And the fleet answers an ordinary request with 200

  # Guards against connections that are held for as long as a byte of a head arrives now and then.
  @fleet_untrusted
  Scenario: Heads that arrive byte by byte end at the time for a head
    When 300 callers of instance 1 send a head byte by byte to "/record/x"
    Then the process has stayed below 160 MB and 200 descriptors
    And the fleet answers an ordinary request with 200

  # Guards against responses that the process keeps for callers who do not read them.
  @fleet_untrusted
  Scenario: Long responses that are read slowly are limited together
    Given the backend servers of "records" reply with 4000000 bytes
    When 120 callers of instance 1 read the responses of "/record/x" slowly
    Then the process has stayed below 160 MB and 400 descriptors
    And the fleet answers an ordinary request with 200

  # Guards against callers who take the descriptors that servers, peers and the store need.
  @fleet_untrusted
  Scenario: Open connections of callers leave descriptors for others
    When 500 callers of instance 1 connect and send nothing
    Then the process has stayed below 160 MB and 400 descriptors
    And the fleet answers an ordinary request with 200

  # Guards against limits that refuse callers within them, and refusals that a server has run.
  @fleet_untrusted
  Scenario: Requests within the limits are served, those over a limit get their status
    When a caller of instance 1 sends these requests to "/record/x"
      | method | head  | body    | chunked | status |
      | POST   | 100   | 262144  | no      | 200    |
      | POST   | 100   | 262144  | yes     | 200    |
      | GET    | 16000 | 0       | no      | 200    |
      | POST   | 100   | 262145  | no      | 413    |
      | POST   | 100   | 262145  | yes     | 413    |
      | POST   | 100   | 3000000 | no      | 413    |
      | POST   | 100   | 3000000 | yes     | 413    |
      | GET    | 40000 | 0       | no      | 431    |
    Then each has its status, and servers have received only those with 200

  # Guards against idle connections that are closed while callers may still use them.
  @fleet_untrusted
  Scenario: A connection may be used again within four fifths of the idle time
    Given idle connections may last 3000 ms
    When a caller of instance 1 sends "/record/x" twice on one connection, 2400 ms apart
    Then both have the status 200

  # As above, for the native dialect, whose limit of bodies did not hold for all paths.
  @site_untrusted
  Scenario Outline: Native dialect: bodies over the limit are not stored
    When 40 callers of instance 1 send 15000000 bytes of a body that is <kind> to "/live"
    Then the process has stayed below 200 MB and 400 descriptors
    And the site answers an ordinary query completely

    Examples:
      | kind      |
      | announced |
      | chunked   |

  @site_untrusted
  Scenario: Native dialect: bodies within the limit that stall are limited together
    When 100 callers of instance 1 send 4000000 bytes of a body that is within to "/v1/query/boat-search"
    Then the process has stayed below 200 MB and 400 descriptors
    And the site answers an ordinary query completely

  @site_untrusted
  Scenario: Native dialect: heads that arrive byte by byte leave descriptors for others
    When 450 callers of instance 1 send a head byte by byte to "/v1/query/boat-search"
    Then the process has stayed below 200 MB and 400 descriptors
    And the site answers an ordinary query completely

  @site_untrusted
  Scenario: Native dialect: long responses that are read slowly are limited together
    When 150 callers of instance 1 read answers with long ids slowly
    Then the process has stayed below 200 MB and 400 descriptors
    And the site answers an ordinary query completely

  @site_untrusted
  Scenario: Native dialect: open connections of callers leave descriptors for others
    When 450 callers of instance 1 connect and send nothing
    Then the process has stayed below 200 MB and 400 descriptors
    And the site answers an ordinary query completely
