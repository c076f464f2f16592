Feature: Evacuation of an availability zone
  While the key of a zone is present, the backend servers of the zone receive nothing new. The kernels
  and the reader run on simulated time.

  Scenario Outline: The presence of the key evacuates a zone, whatever its value is
    Given a configuration in force, with servers in the zones "z1" and "z2"
    When the store has the key "op/evacuate/z1" with <value>
    Then the evacuated zones are "z1"
    And there is <findings> about "op/evacuate/z1"
    When the key "op/evacuate/z1" is removed
    Then the evacuated zones are ""

    Examples:
      | value                      | findings      |
      | the value "{}"             | no finding    |
      | an empty value             | a finding     |
      | the value "{odd"           | a finding     |
      | a value that is not base64 | a finding     |
      | a value of 5000000 bytes   | a finding     |

  Scenario: A key without a zone is an error of this key only
    Given a configuration in force, with servers in the zones "z1" and "z2"
    When the store has the key "op/evacuate/" with the value "{}"
    And the store has the key "op/evacuate/z2" with the value "{}"
    Then the evacuated zones are "z2"
    And there is a finding about "op/evacuate/"

  Scenario: Two zones are evacuated, and one of them is put back in service
    Given a configuration in force, with servers in the zones "z1" and "z2"
    When the store has the key "op/evacuate/z2" with the value "{}"
    And the store has the key "op/evacuate/z1" with the value "{}"
    Then the evacuated zones are "z1, z2"
    When the key "op/evacuate/z2" is removed
    Then the evacuated zones are "z1"

  Scenario: An evacuation before the first configuration
    Given a store without a configuration
    When the store has the key "op/evacuate/z2" with the value "{}"
    And a configuration and its servers follow
    Then the evacuated zones are "z2"

  Scenario: Servers of an evacuated zone receive nothing new
    Given a service with the servers "z1-a, z1-b, z2-a, z2-b", each failing a tenth of its calls
    When 200 requests arrive, one every 10 ms
    And the zones "z1" are evacuated at once
    And 200 requests arrive, one every 10 ms
    Then servers of the zone "z1" have received 0 calls since the evacuation
    And servers of the zone "z2" have received at least 150 calls since the evacuation
    When the zones "" are evacuated at once
    And 200 requests arrive, one every 10 ms
    Then servers of the zone "z1" have received at least 50 calls since the evacuation

  Scenario: An evacuated server is no last resort, whether it is leaving or no longer listed
    Given a service with the servers "z1-a, z1-b", and a grace period for leaving servers
    When 20 requests arrive, one every 10 ms
    And the servers are leaving and the zones "z1" are evacuated
    And 20 requests arrive, one every 10 ms
    Then servers of the zone "z1" have received 0 calls since the evacuation
    And all requests since the evacuation were refused within 1 ms

  Scenario: Requests in the queue are placed on other servers, and calls in flight go on
    Given a service with the servers "z1-a, z2-a", which take 100 ms for a call
    When 8 requests arrive at once
    And the zones "z1" are evacuated at once
    And 1000 ms of the simulation pass
    Then all requests are answered
    And servers of the zone "z1" have received 0 calls since the evacuation

  Scenario: Requests in the queue are refused at once if all servers of their shard are evacuated
    Given a service with the servers "z1-a", which take 100 ms for a call
    When 5 requests arrive at once
    And the zones "z1" are evacuated at once
    Then 4 requests are refused as not run, within 1 ms
    When 1000 ms of the simulation pass
    Then 1 request is answered

  Scenario Outline: A shard whose servers are all evacuated counts as missing at once
    Given a gathered route with a minimum share of <share>, whose shards are "z1", "z2" and "z1, z2"
    When the zones "z1" are evacuated at once
    And 1 request arrives at once
    And 60 ms of the simulation pass
    Then 1 request is <outcome>

    Examples:
      | share | outcome                         |
      | 0.6   | answered with 2 of 3 shards     |
      | 0.9   | refused as not run, within 1 ms |

  Scenario: No connection is opened ahead to servers of an evacuated zone
    Given a view of a pool with servers in the zones "z1" and "z2", of which "z1" is evacuated
    Then connections are opened ahead to servers of the zone "z2" only

  Scenario: An evacuation takes effect on time while lists of servers are read
    Given a fake store of 33000 servers, and a watcher of it
    When a server is written every 100 ms until 20000 ms
    And the zone "z1" is evacuated in the store at 5000 ms, and put back in service at 12000 ms
    Then the evacuation and its end are each in force within 1000 ms

  Scenario: The end of an evacuation that a watcher missed is found by the list
    Given a fake store of 1000 servers, and a watcher of it
    When the store answers requests for servers with silence from 4000 ms
    And the store answers requests for operators' keys with silence from 4000 ms
    And the zone "z1" is evacuated in the store at 3000 ms, and put back in service at 6000 ms
    And a server is written every 100 ms until 20000 ms
    And the store answers again from 12000 ms
    Then the evacuation and its end are each in force within 10500 ms

  Scenario: Stale lists and instances that were cut off do not end an evacuation or bring it back
    Given two instances of which both know the evacuation of "z1", written with the number 50
    When instance "new" reads a list with the number 40 that lacks the evacuation
    Then the zone "z1" is evacuated at instances "old, new"
    When instance "new" reads a list with the number 60 that lacks the evacuation, while "old" is cut off
    Then the zone "z1" is evacuated at instances "old"
    When the instances are connected
    Then the zone "z1" is evacuated at instances ""

  Scenario: The native configuration service evacuates zones by the presence of keys
    Given a native configuration service with the keys "routes, evacuate/z1" at the index 7
    When its reader reads the index
    Then the native evacuated zones are "z1"
    When the index 5 lacks "evacuate/z1" and is read
    Then the native evacuated zones are "z1"
    When the index 9 lacks "evacuate/z1" and is read
    Then the native evacuated zones are ""
    When the index 8 has "evacuate/z1" and is read
    Then the native evacuated zones are ""
    When the index 10 has "evacuate/z1" and is read
    Then the native evacuated zones are "z1"
