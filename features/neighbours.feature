Feature: More instances than neighbours
  Six instances keep streams to two neighbours each; other streams are opened on demand.

  @site_sparse
  Scenario: Every instance reaches all owners
    When the caller queries route "boat-search" at instances 1 to 6 for "double scull"
    Then eventually a query to route "boat-search" at instance 1 is answered completely
    And eventually a query to route "boat-search" at instance 6 is answered completely

  @site_sparse
  Scenario: An edit reaches all instances through their neighbours
    When the operators publish the example's routes with the deadline of "boat-search" at 1400 ms
    Then revision 2 of "routes" is in force at instances 1 to 6

  @site_sparse
  Scenario: An owner that is not a neighbour is killed
    Given callers keep sending requests to route "boat-search" at instances 1 and 2
    When the process "node-5" is killed
    And 40 more answers have been received
    Then every answer is complete or reports correctly what is missing
    And eventually a query to route "boat-search" at instance 1 is answered completely

  Scenario: Records that arrive close together are passed on in one message
    Given an instance with streams to "a" and "b"
    When 30 records of other instances arrive from "a" one after another
    Then it has sent 1 message with 30 records to "b" and none to "a"

  Scenario: A change of an instance in another cell costs no view
    Given an instance of a cell of 2 among 40 instances in one zone
    When an instance of another cell is lost and 100 ms pass
    Then no view has been published, and the latest one lacks the instance
    When the other instance of its cell is lost and 100 ms pass
    Then a view has been published in which the cell has other instances

  Scenario Outline: A message goes out on the stream that the other instance opened, if it may
    Given an instance "b" to which "a" has opened a stream, "a" being of <build>
    When "b" sends a message to "a"
    Then "b" has opened <count> streams of its own
    And "a" has received the message on <stream>

    Examples:
      | build              | count | stream                |
      | this build         | 0     | the stream it opened  |
      | an earlier build   | 1     | a stream of "b"       |

  Scenario: Streams that are open only while in use spread no tables
    Given an instance with 3 neighbours, one of which it ceases to have
    Then tables and membership records are passed on to 2 of them

  Scenario: An instance that has just started owns no shards of its cell
    Guards against sub-requests to an instance that is still loading the tables: the first queries
    after each planned restart waited for it.

    Given an instance of a cell of 4 among 8 instances in one zone
    When another instance of its cell starts anew
    Then the cell of the view has 3 instances without it
    When that instance is ready
    Then the cell of the view has 4 instances with it
    When all instances of the cell start anew
    Then the cell of the view has 4 instances with it
