"""Steps that test which connections are opened before the first query."""

import collections

from behave import given, then

from monsoonhoist.core import data
from monsoonhoist.fleet import warming
from monsoonhoist.policy import ownership
from monsoonhoist.protocol import events

POOL = data.PoolId("set/1")


@given(
    "{instances:d} instances in cells of {size:d} and a pool of {shards:d} shards"
    " with two servers each"
)
def make_views(context, instances, size, shards):
    """Makes the view of each instance. Each shard has a third server, which is leaving."""
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
    context.servers = [server for servers in servers_by_service.values() for server in servers]
    context.view_by_instance = {}
    for start in range(0, instances, size):
        cell = names[start : start + size]
        view = events.ViewChanged(tables, names, cell, instances // size)
        context.view_by_instance.update(dict.fromkeys(cell, view))


@then("{count:d} instances connect to each server of the pool")
def check_connections(context, count):
    """Checks how many instances connect to each server; none may to a leaving one."""
    counts = collections.Counter(
        server.server_id
        for instance, view in context.view_by_instance.items()
        for server in warming.servers_to_connect(view, instance, ownership.CellOwnership(instance))
    )
    expected_counts = {
        server.server_id: 0 if server.leaving else count for server in context.servers
    }
    assert {name: counts[name] for name in expected_counts} == expected_counts, counts
