Feature: Servers and instances leave without harm

  @site_three
  Scenario: A backend server says that it is leaving
    Given callers keep asking route "boat-search" at instances 1 and 2
    When the server "allocator-04-a" says that it is leaving
    And 10 more answers have come
    And 60 more answers have come without new work at "allocator-04-a"
    Then every answer is whole or says truly what is missing
    And at least 99 % of the answers are whole

  @site_three
  Scenario: The table says that a backend server is leaving
    Given callers keep asking route "boat-search" at instances 1 and 2
    When the table marks the server "allocator-04-a" as leaving
    And the marked table is in force at instances 1 to 3
    And 10 more answers have come
    And 60 more answers have come without new work at "allocator-04-a"
    Then every answer is whole or says truly what is missing
    And all answers are whole

  @site_three
  Scenario: An instance shuts down under load
    Given callers keep asking route "boat-search" at instances 1 and 2
    When the process "node-3" is told to end
    And 20 more answers have come
    And the process "node-3" has ended by itself
    And 40 more answers have come
    Then all answers are whole

  @site_three
  Scenario: An instance reads its settings again under load
    Given callers keep asking route "boat-search" at instances 1 and 3
    When the process "node-3" is told to read its settings again
    And 40 more answers have come
    Then all answers are whole
    And the process "node-3" is still running

  @site_three
  Scenario: An instance shuts down with its own callers' requests in flight
    Given a ticket for route "book-boat" from instance 3
    And the boathouse works for 900 ms on each request
    When in the background the request "boat 20, 07:30" is sent with the ticket to instance 3
    And the journals show a run of "boat 20, 07:30"
    And the process "node-3" is told to end
    Then instance 3 is not ready any more
    And the process "node-3" ends by itself
    And all outcomes are "answered"
