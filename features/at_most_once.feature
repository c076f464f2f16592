Feature: A booking or order runs at most once
  The checks use the runs that the backend servers themselves record.

  @site_three
  Scenario: A retry at other instances gets the same answer without a second run
    Given a ticket for route "book-boat" from instance 1
    When the request "boat 7, 07:30" is sent with the ticket to instances 1, 2, 3 in turn
    Then all outcomes are "answered"
    And the backend servers have recorded 1 run of "boat 7, 07:30"

  @site_three
  Scenario: Retries arrive while the first request is running
    Given a ticket for route "book-boat" from instance 2
    And the boathouse servers take 300 ms for each request
    When the request "boat 8, 07:30" is sent with the ticket to instances 1, 2, 3 at once
    Then all outcomes are "answered"
    And the backend servers have recorded 1 run of "boat 8, 07:30"

  @site_three
  Scenario: The holder of the ticket is killed while the request runs
    Given a ticket for route "book-boat" from instance 3
    And the boathouse servers take 700 ms for each request
    When in the background the request "boat 9, 07:30" is sent with the ticket to instance 1
    And the backend servers have recorded a run of "boat 9, 07:30"
    And the process "node-3" is killed
    And the request "boat 9, 07:30" is sent with the ticket to instance 2
    Then all outcomes are "unknown"
    And the backend servers have recorded 1 run of "boat 9, 07:30"

  @site_three
  Scenario: The holder of the ticket is suspended, the caller retries, and the holder resumes late
    Given a ticket for route "book-boat" from instance 3
    When the process "node-3" is suspended
    And the request "boat 10, 07:30" is sent with the ticket to instances 1, 2 in turn
    And the process "node-3" is resumed
    And a query to route "boat-search" at instance 3 is answered completely
    And the request "boat 10, 07:30" is sent with the ticket to instance 2
    Then the first 2 outcomes are "unknown"
    And the backend servers have recorded at most 1 run of "boat 10, 07:30"

  @site_three
  Scenario: The holder of the ticket has restarted
    Given a ticket for route "book-boat" from instance 3
    When the process "node-3" is killed
    And instance 3 is started again
    And the request "boat 11, 07:30" is sent with the ticket to instance 1
    Then all outcomes are "unknown"
    And the backend servers have recorded 0 runs of "boat 11, 07:30"

  @site_booking_relayed
  Scenario: The connection to the backend server is cut while the request runs
    Given a ticket for route "book-boat" from instance 1
    And the boathouse servers take 500 ms for each request
    And of the boathouse servers only "boathouse-a" accepts new requests
    When in the background the request "boat 12, 07:30" is sent with the ticket to instance 1
    And the backend servers have recorded a run of "boat 12, 07:30"
    And the connections to "boathouse-a" are cut
    And the request "boat 12, 07:30" is sent with the ticket to instance 2
    Then all outcomes are "unknown"
    And the backend servers have recorded 1 run of "boat 12, 07:30"

  @site_three
  Scenario: A draining server refuses the request and another one runs it
    Given a ticket for route "book-boat" from instance 1
    And of the boathouse servers only "boathouse-b" accepts new requests
    When the request "boat 13, 07:30" is sent with the ticket to instance 1
    Then all outcomes are "answered"
    And the backend servers have recorded 1 run of "boat 13, 07:30"

  @site_three
  Scenario: All servers refuse the request
    Given a ticket for route "book-boat" from instance 1
    And no boathouse server accepts new requests
    When the request "boat 14, 07:30" is sent with the ticket to instance 1
    Then all outcomes are "not_run"
    And the backend servers have recorded 0 runs of "boat 14, 07:30"
