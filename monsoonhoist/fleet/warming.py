"""Choice of the backend servers to which connections are opened before the first query.

Opening a connection occupies a slot of the server for a short time. If many cells called a server
for the first time at once, the query of one would wait for the connections of the others.
"""

from monsoonhoist.core import data
from monsoonhoist.policy import ownership
from monsoonhoist.protocol import events

# Connections are opened ahead only for pools with at least this many shards.
SHARDS_MIN = 2
# Connections are opened ahead only with at least this many cells. A server accepts the connections
# of fewer cells quickly enough one after another.
CELLS_MIN = 8


def servers_to_connect(
    view: events.ViewChanged, instance: data.InstanceId, policy: ownership.Ownership
) -> tuple[data.Server, ...]:
    """Returns the servers to which an instance opens connections ahead.

    These are the servers, without leaving and evacuated ones, of the shards that the instance owns
    in its cell, in pools of at least ``SHARDS_MIN`` shards; none if there are fewer than
    ``CELLS_MIN`` cells. Of a shard with servers in the instance's own availability zone, only those
    are selected.

    Args:
        view: Current tables and live instances.
        instance: This instance.
        policy: Policy that chooses the owners of a shard.
    """
    if view.cells < CELLS_MIN:
        return ()
    instances = view.cell or view.instances
    evacuated_zones = view.tables.evacuated_zones
    own_zone = view.topology.zone_by_instance.get(instance)
    return tuple(
        server
        for pool in view.tables.pool_by_id.values()
        if len(pool.servers_by_service) >= SHARDS_MIN
        for service, servers in pool.servers_by_service.items()
        if policy.owners(pool.pool_id, service, instances)[0] == instance
        for server in _nearest(
            [
                server
                for server in servers
                if not server.leaving and server.zone not in evacuated_zones
            ],
            own_zone,
        )
    )


def _nearest(servers: list[data.Server], own_zone: data.ZoneId | None) -> list[data.Server]:
    """Returns the servers in an availability zone, or all if there are none in it."""
    return [server for server in servers if server.zone == own_zone] or servers
