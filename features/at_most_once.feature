Feature: A booking or order runs at most once
  Proved from the backend servers' own journals.

  @site_three
  Scenario: A repeat at other instances gets the same answer without a second run
    Given a ticket for route "book-boat" from instance 1
    When the request "boat 7, 07:30" is sent with the ticket to instances 1, 2, 3 in turn
    Then all outcomes are "answered"
    And the journals show 1 run of "boat 7, 07:30"

  @site_three
  Scenario: Repeats arrive while the first is running
    Given a ticket for route "book-boat" from instance 2
    And the boathouse works for 300 ms on each request
    When the request "boat 8, 07:30" is sent with the ticket to instances 1, 2, 3 at once
    Then all outcomes are "answered"
    And the journals show 1 run of "boat 8, 07:30"

  @site_three
  Scenario: The holder of the ticket is killed while the request runs
    Given a ticket for route "book-boat" from instance 3
    And the boathouse works for 700 ms on each request
    When in the background the request "boat 9, 07:30" is sent with the ticket to instance 1
    And the journals show a run of "boat 9, 07:30"
    And the process "node-3" is killed
    And the request "boat 9, 07:30" is sent with the ticket to instance 2
    Then all outcomes are "unknown"
    And the journals show 1 run of "boat 9, 07:30"

  @site_three
  Scenario: The holder is stopped, the caller repeats, and the holder wakes late
    Given a ticket for route "book-boat" from instance 3
    When the process "node-3" is stopped
    And the request "boat 10, 07:30" is sent with the ticket to instances 1, 2 in turn
    And the process "node-3" goes on
    And a question at instance 3 to route "boat-search" is answered whole
    And the request "boat 10, 07:30" is sent with the ticket to instance 2
    Then the first 2 outcomes are "unknown"
    And the journals show at most 1 run of "boat 10, 07:30"

  @site_three
  Scenario: The holder has restarted
    Given a ticket for route "book-boat" from instance 3
    When the process "node-3" is killed
    And instance 3 is started again
    And the request "boat 11, 07:30" is sent with the ticket to instance 1
    Then all outcomes are "unknown"
    And the journals show 0 runs of "boat 11, 07:30"

  @site_booking_relayed
  Scenario: The connection to the backend server is cut while the request runs
    Given a ticket for route "book-boat" from instance 1
    And the boathouse works for 500 ms on each request
    And only "boathouse-a" takes new work
    When in the background the request "boat 12, 07:30" is sent with the ticket to instance 1
    And the journals show a run of "boat 12, 07:30"
    And the connections to "boathouse-a" are cut
    And the request "boat 12, 07:30" is sent with the ticket to instance 2
    Then all outcomes are "unknown"
    And the journals show 1 run of "boat 12, 07:30"

  @site_three
  Scenario: A leaving server refuses and another one runs the request
    Given a ticket for route "book-boat" from instance 1
    And only "boathouse-b" takes new work
    When the request "boat 13, 07:30" is sent with the ticket to instance 1
    Then all outcomes are "answered"
    And the journals show 1 run of "boat 13, 07:30"

  @site_three
  Scenario: All servers refuse
    Given a ticket for route "book-boat" from instance 1
    And only "none" takes new work
    When the request "boat 14, 07:30" is sent with the ticket to instance 1
    Then all outcomes are "not_run"
    And the journals show 0 runs of "boat 14, 07:30"
