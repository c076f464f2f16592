"""Steps of the connections that are opened ahead."""

import collections

from behave import given, then

from monsoonhoist.core import data, events, warming
from monsoonhoist.policy import ownership

POOL = data.PoolId("set/1")


@given(
    "{instances:d} instances in cells of {size:d} and a pool of {shards:d} shards"
    " with two servers each"
)
def make_views(context, instances, size, shards):
    """Makes the view of each instance; one more server of each shard is leaving."""
    names = tuple(data.InstanceId(f"i-{number:02d}") for number in range(instances))
    servers_by_service = {
        data.ServiceId(f"s{number}"): tuple(
            data.Server(
                f"s{number}-{letter}", f"s{number}", f"s{number}{letter}:1", "z", 2, 60, leaving
            )
            for letter, leaving in (("a", False), ("b", False), ("c", True))
        )
        for number in range(shards)
    }
    pool = data.Pool(POOL, shards, servers_by_service, data.Snapshot(1))
    tables = data.Tables({}, {POOL: pool})
    context.servers = [one for group in servers_by_service.values() for one in group]
    context.view_by_id = {}
    for start in range(0, instances, size):
        cell = names[start : start + size]
        view = events.ViewChanged(tables, names, cell, instances // size)
        context.view_by_id.update(dict.fromkeys(cell, view))


@then("each server of the pool is connected to by {count:d} instances")
def check_connections(context, count):
    """Counts the instances that connect to each server."""
    found = collections.Counter(
        server.server_id
        for myself, view in context.view_by_id.items()
        for server in warming.servers_to_connect(view, myself, ownership.CellOwnership(myself))
    )
    expected = {server.server_id: 0 if server.leaving else count for server in context.servers}
    assert {name: found[name] for name in expected} == expected, found
