"""Steps on the cost and the result of changes of single entries."""

import json
import random

from behave import given, then, when

from monsoonhoist.core import data, messages
from monsoonhoist.platform import store_format, wire_names
from monsoonhoist.tables import store

MOVED = "i-7-1"
OWN = "s007"
OTHER = "s008"


class EntryStore:
    """A store of tables, and the texts that it was offered."""

    def __init__(self):
        self.store = store.TableStore(store_format.PlatformFormat(0.2))
        self.number = 0
        self.text_by_key = {}

    def write(self, key, text):
        """Offers a newer value and brings it into force."""
        self.number += 1
        self.text_by_key[key] = text
        self.store.offer(messages.TableValue(data.TableKey(key), self.number, text))
        self.store.apply_accepted()

    def servers(self, service):
        """Returns a service's servers in force, in the order of the pools that have it."""
        return [
            pool.servers_by_service[service]
            for pool in self.store.tables.pool_by_id.values()
            if service in pool.servers_by_service
        ]


def server_text(service, number, state="ready"):
    """Returns the entry of a server."""
    entry = {"Service": service, "Addr": f"10.0.0.1:{number}", "Zone": "z", "Slots": 2}
    return json.dumps({**entry, "State": state})


def server_key(name):
    """Returns the key of a server's entry."""
    return f"{wire_names.SERVER_KEY_PREFIX}{name}"


def config_text(services):
    """Returns a configuration with two sets of shards and one plain route."""
    half = len(services) // 2
    kind = {"Host": "h", "Type": "idempotent", "TimeoutMs": 1000, "Attempts": 2}
    routes = [
        {"Name": "a", "Prefix": "/a/", "Gather": services[:half], **kind},
        {"Name": "b", "Prefix": "/b/", "Gather": services[half:], **kind},
        {"Name": "c", "Prefix": "/c/", "Service": services[0], **kind},
    ]
    limits = [{"Name": service, "MaxConns": 67} for service in services]
    return json.dumps({"Version": 3, "Routes": routes, "Services": limits})


@given("the tables of {shards:d} shards with {count:d} servers each")
def make_tables(context, shards, count):
    """Writes the configuration and all entries."""
    context.services = [f"s{number:03d}" for number in range(shards)]
    context.entries = EntryStore()
    context.entries.write(wire_names.CONFIG_KEY, config_text(context.services))
    for number, service in enumerate(context.services):
        for copy in range(count):
            text = server_text(service, number * count + copy)
            context.entries.write(server_key(f"i-{number}-{copy}"), text)
    context.before = context.entries.store.tables


@when("the entry of one server says that it leaves")
def leave(context):
    """Writes the entry."""
    context.entries.write(server_key(MOVED), server_text(OWN, 22, "draining"))


@then("that server is leaving in the tables")
def check_leaving(context):
    """Checks the server's record."""
    (servers,) = context.entries.servers(OWN)
    assert [server.leaving for server in servers] == [False, True, False], servers


@then("the pools without that server are the same objects as before")
def check_pools(context):
    """Compares the pools."""
    for pool_id, pool in context.entries.store.tables.pool_by_id.items():
        assert (OWN in pool.servers_by_service) != (pool is context.before.pool_by_id[pool_id])


@then("the servers of all other shards are the same objects as before")
def check_servers(context):
    """Compares the shards."""
    for pool_id, pool in context.entries.store.tables.pool_by_id.items():
        before = context.before.pool_by_id[pool_id].servers_by_service
        for service, servers in pool.servers_by_service.items():
            assert (service == OWN) != (servers is before[service]), service


@when("the entry of one server names the service of another shard")
def move(context):
    """Writes the entry."""
    context.entries.write(server_key(MOVED), server_text(OTHER, 22))


@when("the entry of that server is removed")
def remove(context):
    """Writes an empty value."""
    context.entries.write(server_key(MOVED), "")


@when("the entry of that server is written as at first")
def restore(context):
    """Writes the entry."""
    context.entries.write(server_key(MOVED), server_text(OWN, 22))


@then("the other shard has {other:d} servers and its own one has {own:d}")
def check_counts(context, other, own):
    """Counts the servers."""
    found = [len(servers) for name in (OTHER, OWN) for servers in context.entries.servers(name)]
    assert found == [other, own], found


@when("{count:d} entries change one after the other, by seed {seed:d}")
def change_many(context, count, seed):
    """Writes entries that move, leave, go, come or cannot be read."""
    chance = random.Random(seed)
    keys = [key for key in context.entries.text_by_key if key != wire_names.CONFIG_KEY]
    for number in range(count):
        key = chance.choice([*keys, server_key(f"new-{number}")])
        service = chance.choice(context.services)
        ready = server_text(service, number)
        draining = server_text(service, number, "draining")
        context.entries.write(key, chance.choice([ready, draining, "", "{"]))


@then("the tables are those of a store that has read all entries at once")
def check_same(context):
    """Reads all entries with another store."""
    other = EntryStore()
    texts = sorted(context.entries.text_by_key.items())
    for number, (key, text) in enumerate(texts, start=1):
        other.store.offer(messages.TableValue(data.TableKey(key), number, text))
    other.store.apply_accepted()
    assert other.store.tables == context.entries.store.tables
