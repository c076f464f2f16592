"""Where instances and servers are, and in which zone a shard should have its owner."""

from collections.abc import Sequence

import msgspec

from monsoonhoist.core import data, hashing


class Topology(msgspec.Struct, frozen=True):
    """Where instances and servers are, and what the instances can do.

    Attributes:
        capacity_by_instance: Capacities of instances; 1 for those that are not contained.
        zone_by_instance: Availability zones of instances.
        zones_by_service: Availability zones of the servers of shards.
    """

    capacity_by_instance: dict[data.InstanceId, float] = {}
    zone_by_instance: dict[data.InstanceId, data.ZoneId] = {}
    zones_by_service: dict[data.ServiceId, tuple[data.ZoneId, ...]] = {}


NO_TOPOLOGY = Topology()


def find_zones(tables: data.Tables) -> dict[data.ServiceId, tuple[data.ZoneId, ...]]:
    """Returns the availability zones of the servers of each shard, sorted.

    Only pools of several shards count. Servers that are leaving count if a shard has no others.
    """
    zones_by_service: dict[data.ServiceId, tuple[data.ZoneId, ...]] = {}
    for pool in tables.pool_by_id.values():
        if len(pool.servers_by_service) < 2:
            continue
        for service, servers in pool.servers_by_service.items():
            staying = [server for server in servers if not server.leaving] or servers
            zones_by_service[service] = tuple(sorted({server.zone for server in staying}))
    return zones_by_service


def order_zones(
    service: data.ServiceId, zones: Sequence[data.ZoneId], own_zone: data.ZoneId
) -> list[data.ZoneId]:
    """Returns the zones of a shard's servers in the order in which an entry prefers owners there.

    The entry's own zone comes first, so that nothing crosses zones. The others are ordered by a
    hash, so that the shards are divided among them.
    """
    return sorted(
        zones, key=lambda zone: (zone != own_zone, hashing.stable_hash("zone", service, zone))
    )
