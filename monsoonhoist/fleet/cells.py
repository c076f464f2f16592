"""Cells, the groups of instances that share the calls to backend servers, and their size."""

import math
from collections.abc import Sequence

import msgspec

from monsoonhoist.core import data, limits
from monsoonhoist.fleet import membership

# Processor time of a call to a backend server and its reply, on a core of typical speed.
CALL_CPU_SECONDS = 0.0004
# Share of the shortest latency goal that an instance may spend on the calls of one query.
CALLS_SHARE_OF_GOAL = 0.11
# Least capacity of an instance that is assumed.
CAPACITY_MIN = 0.05
# Connections to each server that a cell needs, so that one is free for a hedge.
CONNECTIONS_PER_CELL_MIN = 2.0


class CellView(msgspec.Struct, frozen=True):
    """The cell of an instance, computed from its own view of the deployment.

    Attributes:
        members: Instances of the cell, sorted.
        count: Number of cells in all availability zones together.
    """

    members: tuple[data.InstanceId, ...]
    count: int


# View in a deployment without cells.
NO_CELL = CellView((), 0)


def mean_capacity(members: Sequence[data.Member]) -> float:
    """Returns the mean capacity of instances, in cores of typical speed; 1 without instances."""
    if not members:
        return 1.0
    return sum(member.capacity for member in members) / len(members)


def make_view(members: membership.Membership, size: int, fleet_size: int) -> CellView:
    """Returns the cell of an instance.

    Args:
        members: The instance's view of all instances.
        size: Intended number of instances in a cell.
        fleet_size: Number of instances that share the servers' limits.
    """
    return CellView(members.cell(size), max(1, round(fleet_size / size)))


def size_for(instance_count: int, tables: data.Tables, mean_capacity: float = 1.0) -> int:
    """Returns the number of instances that should form a cell.

    This is the smallest size that satisfies two conditions. The processor time of an instance's
    calls for a query to the largest pool is at most a share of the shortest latency goal of such
    queries; the size that this requires is rounded down. All cells together stay within the
    servers' connection limits.

    Args:
        instance_count: Number of live instances.
        tables: Tables in force.
        mean_capacity: Mean capacity of an instance, in cores of typical speed.
    """
    shards_max = max(
        (len(pool.servers_by_service) for pool in tables.pool_by_id.values()), default=0
    )
    goals = [
        route.goal.total_seconds()
        for route in tables.route_by_id.values()
        if route.goal is not None and _shard_count(route, tables) == shards_max
    ]
    connections = [
        server.connections
        for pool in tables.pool_by_id.values()
        for servers in pool.servers_by_service.values()
        for server in servers
    ]
    size = 1.0
    if goals:
        size = max(
            size,
            math.floor(
                shards_max
                * CALL_CPU_SECONDS
                / (CALLS_SHARE_OF_GOAL * min(goals) * max(CAPACITY_MIN, mean_capacity))
            ),
        )
    if connections:
        cells_max = min(connections) * limits.USABLE_CONNECTIONS_SHARE / CONNECTIONS_PER_CELL_MIN
        size = max(size, math.ceil(instance_count / max(1.0, cells_max)))
    return min(int(size), max(1, instance_count))


def _shard_count(route: data.Route, tables: data.Tables) -> int:
    """Returns the number of shards in a route's pool; 0 if the pool is not defined."""
    pool = tables.pool_by_id.get(route.pool)
    return len(pool.servers_by_service) if pool is not None else 0
