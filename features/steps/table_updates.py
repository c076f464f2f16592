"""Steps that test incremental updates of the tables after changes of single items."""

import json
import random

from behave import given, then, when

from monsoonhoist.core import data
from monsoonhoist.platform import store_format, wire_names
from monsoonhoist.protocol import messages
from monsoonhoist.tables import store

# The second server of the original shard, and the port that ``make_tables`` gives it with three
# servers for each shard.
CHANGED_SERVER = "i-7-1"
CHANGED_SERVER_PORT = 22
ORIGINAL_SHARD = "s007"
OTHER_SHARD = "s008"


class ItemStore:
    """A table store and the items written to it.

    Attributes:
        store: The table store.
        value_by_key: Latest value of each item.
    """

    def __init__(self):
        self.store = store.TableStore(store_format.PlatformFormat(0.2))
        self._revision = 0
        self.value_by_key = {}

    def write(self, key, value):
        """Writes a newer revision of an item and applies it to the tables."""
        self._revision += 1
        self.value_by_key[key] = value
        self.store.offer(messages.TableValue(data.TableKey(key), self._revision, value))
        self.store.apply_accepted()

    def servers(self, service):
        """Returns the servers of a service from each pool that contains it."""
        return [
            pool.servers_by_service[service]
            for pool in self.store.tables.pool_by_id.values()
            if service in pool.servers_by_service
        ]


def server_value(service, port, state="ready"):
    """Returns the value of a server's item."""
    registration = {"Service": service, "Addr": f"10.0.0.1:{port}", "Zone": "z", "Slots": 2}
    return json.dumps({**registration, "State": state})


def server_key(name):
    """Returns the key of a server's item."""
    return f"{wire_names.SERVER_KEY_PREFIX}{name}"


def config_value(services):
    """Returns a configuration with two routes that gather shards and one to a single service."""
    half = len(services) // 2
    options = {"Host": "h", "Type": "idempotent", "TimeoutMs": 1000, "Attempts": 2}
    routes = [
        {"Name": "a", "Prefix": "/a/", "Gather": services[:half], **options},
        {"Name": "b", "Prefix": "/b/", "Gather": services[half:], **options},
        {"Name": "c", "Prefix": "/c/", "Service": services[0], **options},
    ]
    limits = [{"Name": service, "MaxConns": 67} for service in services]
    return json.dumps({"Version": 3, "Routes": routes, "Services": limits})


@given("the tables of {shards:d} shards with {count:d} servers each")
def make_tables(context, shards, count):
    """Writes the configuration and all servers' items."""
    context.services = [f"s{number:03d}" for number in range(shards)]
    context.item_store = ItemStore()
    context.item_store.write(wire_names.CONFIG_KEY, config_value(context.services))
    for number, service in enumerate(context.services):
        for replica in range(count):
            value = server_value(service, number * count + replica)
            context.item_store.write(server_key(f"i-{number}-{replica}"), value)
    context.tables_before = context.item_store.store.tables


@when("the item of one server marks it as draining")
def mark_draining(context):
    """Writes an item with the state of a draining server."""
    context.item_store.write(
        server_key(CHANGED_SERVER), server_value(ORIGINAL_SHARD, CHANGED_SERVER_PORT, "draining")
    )


@then("that server is leaving in the tables")
def check_leaving(context):
    """Checks that only this server of its shard is leaving."""
    (servers,) = context.item_store.servers(ORIGINAL_SHARD)
    assert [server.leaving for server in servers] == [False, True, False], servers


@then("the pools without that server are the same objects as before")
def check_pools(context):
    """Checks that only the pools with the server are new objects."""
    for pool_id, pool in context.item_store.store.tables.pool_by_id.items():
        assert (ORIGINAL_SHARD in pool.servers_by_service) != (
            pool is context.tables_before.pool_by_id[pool_id]
        )


@then("the servers of all other shards are the same objects as before")
def check_servers(context):
    """Checks that only the servers of the changed shard are a new object."""
    for pool_id, pool in context.item_store.store.tables.pool_by_id.items():
        servers_before = context.tables_before.pool_by_id[pool_id].servers_by_service
        for service, servers in pool.servers_by_service.items():
            assert (service == ORIGINAL_SHARD) != (servers is servers_before[service]), service


@when("the item of one server names the service of another shard")
def change_service(context):
    """Writes an item that assigns the server to another service."""
    context.item_store.write(
        server_key(CHANGED_SERVER), server_value(OTHER_SHARD, CHANGED_SERVER_PORT)
    )


@when("the item of that server is removed")
def remove_item(context):
    """Writes an empty value, which removes the item."""
    context.item_store.write(server_key(CHANGED_SERVER), "")


@when("the original item of that server is written again")
def restore_item(context):
    """Writes the item that assigns the server to its original service."""
    context.item_store.write(
        server_key(CHANGED_SERVER), server_value(ORIGINAL_SHARD, CHANGED_SERVER_PORT)
    )


@then("the other shard has {other:d} servers and the original shard has {original:d}")
def check_counts(context, other, original):
    """Checks the number of servers of both shards."""
    counts = [
        len(servers)
        for name in (OTHER_SHARD, ORIGINAL_SHARD)
        for servers in context.item_store.servers(name)
    ]
    assert counts == [other, original], counts


@when("{count:d} items change one after another, with seed {seed:d}")
def change_many(context, count, seed):
    """Writes items that are added, changed, draining, removed or malformed."""
    rng = random.Random(seed)
    keys = [key for key in context.item_store.value_by_key if key != wire_names.CONFIG_KEY]
    for number in range(count):
        key = rng.choice([*keys, server_key(f"new-{number}")])
        service = rng.choice(context.services)
        ready = server_value(service, number)
        draining = server_value(service, number, "draining")
        context.item_store.write(key, rng.choice([ready, draining, "", "{"]))


@then("the tables are those of a store that has read all items at once")
def check_same(context):
    """Compares the tables with those of a new store that reads all items."""
    new_store = ItemStore()
    all_items = sorted(context.item_store.value_by_key.items())
    for revision, (key, value) in enumerate(all_items, start=1):
        new_store.store.offer(messages.TableValue(data.TableKey(key), revision, value))
    new_store.store.apply_accepted()
    assert new_store.store.tables == context.item_store.store.tables
