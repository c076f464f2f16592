"""Size of the cells in which instances share the calls to backend servers."""

import math

import msgspec

from monsoonhoist.core import data, limits, membership

# Processor time of a call to a backend server and its reply, on a core of usual speed.
CALL_CPU_SECONDS = 0.0004
# Share of the shortest goal that an entry may spend on making calls.
CALLS_SHARE_OF_GOAL = 0.11
# Connections to a server that a cell should have, so that one is free for a hedge.
CONNECTIONS_PER_CELL_MIN = 2.0


class CellView(msgspec.Struct, frozen=True):
    """The cell that an instance sees itself in.

    Attributes:
        members: Its instances, sorted.
        count: Number of cells of all availability zones.
    """

    members: tuple[data.InstanceId, ...]
    count: int


# Stands for a deployment without cells.
NO_CELL = CellView((), 0)


def make_view(members: membership.Membership, size: int, fleet_size: int) -> CellView:
    """Returns an instance's cell.

    Args:
        members: The instance's view of all instances.
        size: Number of instances of a cell.
        fleet_size: Number of instances that share the servers' limits.
    """
    return CellView(members.cell(size), max(1, round(fleet_size / size)))


def size_for(instance_count: int, tables: data.Tables) -> int:
    """Returns the number of instances that should share the calls.

    A cell is as large as it must be for each of its instances to make few enough calls for
    a query within the most urgent goal, and for all cells together to stay within the
    servers' connections.

    Args:
        instance_count: Number of live instances.
        tables: Tables in force.
    """
    widest = max((len(pool.servers_by_service) for pool in tables.pool_by_id.values()), default=0)
    goals = [
        route.goal.total_seconds()
        for route in tables.route_by_id.values()
        if route.goal is not None and _shard_count(route, tables) == widest
    ]
    connections = [
        server.connections
        for pool in tables.pool_by_id.values()
        for servers in pool.servers_by_service.values()
        for server in servers
    ]
    size = 1.0
    if goals:
        size = max(size, math.floor(widest * CALL_CPU_SECONDS / (CALLS_SHARE_OF_GOAL * min(goals))))
    if connections:
        cells_max = min(connections) * limits.USABLE_CONNECTIONS_SHARE / CONNECTIONS_PER_CELL_MIN
        size = max(size, math.ceil(instance_count / max(1.0, cells_max)))
    return min(int(size), max(1, instance_count))


def _shard_count(route: data.Route, tables: data.Tables) -> int:
    """Returns the number of shards that a route's queries go to."""
    pool = tables.pool_by_id.get(route.pool)
    return len(pool.servers_by_service) if pool is not None else 0
