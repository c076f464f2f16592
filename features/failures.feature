Feature: Instances and connections fail while queries run
  Every answer reports its coverage correctly, and later answers are complete again.

  @site_three
  Scenario: An instance is killed
    Given callers keep sending requests to route "boat-search" at instances 1 and 2
    When the process "node-3" is killed
    And 40 more answers have been received
    Then every answer is complete or reports correctly what is missing
    And eventually a query to route "boat-search" at instance 1 is answered completely

  @site_three
  Scenario: An instance is suspended and resumes late
    Given callers keep sending requests to route "boat-search" at instances 1 and 2
    When the process "node-3" is suspended
    And 40 more answers have been received
    And the process "node-3" is resumed
    And 40 more answers have been received
    Then every answer is complete or reports correctly what is missing
    And eventually a query to route "boat-search" at instance 3 is answered completely

  @site_relayed
  Scenario Outline: The streams to an instance stop transferring data
    Given callers keep sending requests to route "boat-search" at instances 1 and 2
    When the connections to "node-3" <fault>
    And instance 1 has logged the loss of its stream to "node-3"
    And 40 more answers have been received
    Then every answer is complete or reports correctly what is missing
    And eventually a query to route "boat-search" at instance 1 is answered completely
    And eventually instance 1 is connected to "node-3" again

    Examples:
      | fault              |
      | go silent          |
      | lose one direction |
      | are cut            |

  @site_relayed
  Scenario: The connections to a backend server go silent while new ones work
    Given callers keep sending requests to route "boat-search" at instances 1 and 2
    When the connections to "allocator-03-a" go silent
    And 40 more answers have been received
    Then every answer is complete or reports correctly what is missing
    And eventually a query to route "boat-search" at instance 1 is answered completely

  @site_three
  Scenario: All servers of a shard stop answering
    When the servers "allocator-05-a" and "allocator-05-b" stop answering
    And the caller queries route "boat-search" at instance 1 for "single scull"
    Then the reason is "timeout" and the outcome "partial"
    And the shard "allocator-05" is missing from the coverage

  @site_three
  Scenario: An unknown peer connects to the peer port
    When an unknown peer sends a frame with an invalid message to instance 1
    And an unknown peer sends the hello of another deployment to instance 1
    And an unknown peer sends the length of a 1 GB frame to instance 1
    Then instance 1 closes all three streams
    And eventually a query to route "boat-search" at instance 1 is answered completely

  @site_three
  Scenario: A body is larger than the limit
    When the caller sends a body of 100000 bytes to route "boat-search" at instance 1
    Then the reason is "body_too_large" and the outcome "not_run"
