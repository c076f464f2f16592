Feature: Instances and connections fail under running queries
  Every answer stays truthful about what it covers, and the next answers are whole again.

  @site_three
  Scenario: An instance is killed
    Given callers keep asking route "boat-search" at instances 1 and 2
    When the process "node-3" is killed
    And 40 more answers have come
    Then every answer is whole or says truly what is missing
    And in the end a question at instance 1 to route "boat-search" is answered whole

  @site_three
  Scenario: An instance is stopped and wakes late
    Given callers keep asking route "boat-search" at instances 1 and 2
    When the process "node-3" is stopped
    And 40 more answers have come
    And the process "node-3" goes on
    And 40 more answers have come
    Then every answer is whole or says truly what is missing
    And in the end a question at instance 3 to route "boat-search" is answered whole

  @site_relayed
  Scenario Outline: The streams to an instance stop passing bytes
    Given callers keep asking route "boat-search" at instances 1 and 2
    When the connections to "node-3" <fault>
    And instance 1 notices the loss of its stream to "node-3"
    And 40 more answers have come
    Then every answer is whole or says truly what is missing
    And in the end a question at instance 1 to route "boat-search" is answered whole
    And in the end instance 1 is connected to "node-3" again

    Examples:
      | fault              |
      | go silent          |
      | lose one direction |
      | are cut            |

  @site_relayed
  Scenario: The connections to a backend server go silent while new ones work
    Given callers keep asking route "boat-search" at instances 1 and 2
    When the connections to "allocator-03-a" go silent
    And 40 more answers have come
    Then every answer is whole or says truly what is missing
    And in the end a question at instance 1 to route "boat-search" is answered whole

  @site_three
  Scenario: All servers of a shard are lost
    When the servers "allocator-05-a" and "allocator-05-b" answer no more
    And the caller asks route "boat-search" at instance 1 for "single scull"
    Then the reason is "timeout" and the outcome "partial"
    And the shard "allocator-05" is missing from the coverage

  @site_three
  Scenario: A stranger connects to the instance port
    When a stranger sends bytes that are not the protocol to instance 1
    And a stranger greets instance 1 from another deployment
    And a stranger announces a frame of 1 GB to instance 1
    Then instance 1 closes all three streams
    And in the end a question at instance 1 to route "boat-search" is answered whole

  @site_three
  Scenario: A body is larger than the limit
    When the caller sends a body of 100000 bytes to route "boat-search" at instance 1
    Then the reason is "body_too_large" and the outcome "not_run"
