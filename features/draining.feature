Feature: Servers and instances drain without disrupting callers

  @site_three
  Scenario: A backend server reports that it is draining
    Given callers keep sending requests to route "boat-search" at instances 1 and 2
    When the server "allocator-04-a" starts draining
    And 10 more answers have been received
    And 60 more answers have been received without a new call to "allocator-04-a"
    Then every answer is complete or reports correctly what is missing
    And at least 99 % of the answers are complete

  @site_three
  Scenario: The table marks a backend server as leaving
    Given callers keep sending requests to route "boat-search" at instances 1 and 2
    When the table marks the server "allocator-04-a" as leaving
    And the marked table is in force at instances 1 to 3
    And 10 more answers have been received
    And 60 more answers have been received without a new call to "allocator-04-a"
    Then every answer is complete or reports correctly what is missing
    And all answers are complete

  @site_three
  Scenario: An instance shuts down under load
    Given callers keep sending requests to route "boat-search" at instances 1 and 2
    When the process "node-3" receives SIGTERM
    And 20 more answers have been received
    And the process "node-3" has exited with code 0
    And 40 more answers have been received
    Then all answers are complete

  @site_three
  Scenario: An instance reloads its settings under load
    Given callers keep sending requests to route "boat-search" at instances 1 and 3
    When the process "node-3" receives SIGHUP
    And 40 more answers have been received
    Then all answers are complete
    And the process "node-3" is still running

  @site_three
  Scenario: An instance shuts down with requests of its own callers in flight
    Given a ticket for route "book-boat" from instance 3
    And the boathouse servers take 900 ms for each request
    When in the background the request "boat 20, 07:30" is sent with the ticket to instance 3
    And the backend servers have recorded a run of "boat 20, 07:30"
    And the process "node-3" receives SIGTERM
    Then instance 3 is no longer ready
    And the process "node-3" exits with code 0
    And all outcomes are "answered"

  # Guards against requests that outlast the stop and end without an answer.
  @site_short_stop
  Scenario: A request that outlasts the stop of its instance is answered
    Given a ticket for route "book-boat" from instance 3
    And the boathouse servers take 5000 ms for each request
    When in the background the request "boat 21, 07:30" is sent with the ticket to instance 3
    And the backend servers have recorded a run of "boat 21, 07:30"
    And the process "node-3" receives SIGTERM
    Then the process "node-3" exits with code 0
    And all outcomes are "unknown"
    And the backend servers have recorded 1 run of "boat 21, 07:30"

  # Guards against a signal that ends a process whose modules are still being loaded.
  Scenario Outline: A signal to read the settings again does not end a process that starts
    When an instance without settings is started by "<module>", and receives SIGHUP as soon as it runs
    Then it ends by itself because it has no settings

    Examples:
      | module                          |
      | monsoonhoist.serve              |
      | monsoonhoist serve missing.ini  |
