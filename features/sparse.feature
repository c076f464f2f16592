Feature: More instances than neighbours
  Six instances keep streams to two neighbours each; other streams open when needed.

  @site_sparse
  Scenario: Every instance reaches all owners
    When the caller asks route "boat-search" at instances 1 to 6 for "double scull"
    Then in the end a question at instance 1 to route "boat-search" is answered whole
    And in the end a question at instance 6 to route "boat-search" is answered whole

  @site_sparse
  Scenario: An edit reaches all instances over their neighbours
    When the operators publish the example's routes with the deadline of "boat-search" at 1400 ms
    Then revision 2 of "routes" is in force at instances 1 to 6

  @site_sparse
  Scenario: An owner that is no neighbour is killed
    Given callers keep asking route "boat-search" at instances 1 and 2
    When the process "node-5" is killed
    And 40 more answers have come
    Then every answer is whole or says truly what is missing
    And in the end a question at instance 1 to route "boat-search" is answered whole
