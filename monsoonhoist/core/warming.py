"""Which connections to backend servers are opened before there is work for them.

A new connection takes a slot of its server for a while. Where many cells call each server for
the first time at once, their queries would wait for each other's connections.
"""

from monsoonhoist.core import data, events
from monsoonhoist.policy import ownership

# Fewest shards of a pool whose servers are connected to ahead.
SHARDS_MIN = 2
# Fewest cells with which connections are opened ahead; fewer are soon served one after another.
CELLS_MIN = 8


def servers_to_connect(
    view: events.ViewChanged, myself: data.InstanceId, owners: ownership.Ownership
) -> tuple[data.Server, ...]:
    """Returns the servers of the shards that an instance calls for its cell.

    Args:
        view: Tables in force and live instances.
        myself: The instance.
        owners: Chooses the instances that call the servers of a shard.
    """
    if view.cells < CELLS_MIN:
        return ()
    instances = view.cell or view.instances
    return tuple(
        server
        for pool in view.tables.pool_by_id.values()
        if len(pool.servers_by_service) >= SHARDS_MIN
        for service, servers in pool.servers_by_service.items()
        if owners.owners(pool.pool_id, service, instances)[0] == myself
        for server in servers
        if not server.leaving
    )
