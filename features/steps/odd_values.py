"""Steps with single odd values of the store, and readers and formats that fail."""

import asyncio
import json

from behave import given, then, when

from features import store_values
from monsoonhoist import metrics, settings
from monsoonhoist.core import clock, data
from monsoonhoist.node import replication, service_watcher, table_reader
from monsoonhoist.platform import store_format
from monsoonhoist.protocol import messages
from monsoonhoist.tables import store


@given('a store with the configuration and the item of the server "{name}"')
def make_store(context, name):
    """Makes a store with one route and one server."""
    context.harness = store_values.StoreHarness(store_format.PlatformFormat(0.2))
    context.harness.offer("op/config", store_values.make_config(1))
    context.harness.offer(f"servers/{name}", json.dumps(store_values.SERVER_ITEM))


@when('the item of the server "{name}" has the value nested {depth:d} deep')
def offer_nested(context, name, depth):
    """Offers an item that is a list of lists."""
    context.harness.offer(f"servers/{name}", "[" * depth + "]" * depth)


@when('the item of the server "{name}" has the value with Slots of {count:d} digits')
def offer_long_number(context, name, count):
    """Offers an item with a long number."""
    text = json.dumps(store_values.SERVER_ITEM).replace('"Slots": 2', '"Slots": ' + "1" * count)
    context.harness.offer(f"servers/{name}", text)


@when('the item of the server "{name}" has the value with {field} {value}')
def offer_field(context, name, field, value):
    """Offers an item in which one field is changed; numbers are written as such."""
    changed = int(value) if value.lstrip("-").isdecimal() else value
    context.harness.offer(
        f"servers/{name}", json.dumps(store_values.SERVER_ITEM | {field: changed})
    )


@when('the item of the server "{name}" is valid')
@when('the item of the server "{name}" has the value of a valid server')
def offer_valid(context, name):
    """Offers a valid item."""
    context.harness.offer(f"servers/{name}", json.dumps(store_values.SERVER_ITEM))


@when("a configuration follows whose route has {field} {value}")
def offer_config_field(context, field, value):
    """Offers a configuration in which one field of the route is changed."""
    context.harness.offer("op/config", store_values.make_config(2, **{field: json.loads(value)}))


@when("a valid configuration follows")
def offer_valid_config(context):
    """Offers a valid configuration."""
    context.harness.offer("op/config", store_values.make_config(3))


@then('the store has a finding about "{key}"')
def check_store_finding(context, key):
    """Checks that a finding names the key."""
    assert any(text.startswith(key) for text in context.harness.findings), context.harness.findings


@then('the servers in force are "{names}"')
def check_servers(context, names):
    """Compares the servers of the route's pool."""
    (pool,) = context.harness.store.tables.pool_by_id.values()
    found = [server.server_id for server in pool.servers_by_service["s"]]
    assert found == names.split(", "), found


@then("the configuration in force is the {which} one")
def check_config(context, which):
    """Compares the version of the pool in force."""
    (pool,) = context.harness.store.tables.pool_by_id.values()
    assert pool.snapshot == {"first": 1, "last": 3}[which], pool.snapshot


class FailingFormat(store.TableFormat):
    """A format whose parser fails at one key.

    Args:
        failing_key: The key.
    """

    def __init__(self, failing_key):
        self._failing_key = failing_key

    def parse(self, key, file, text):
        """Returns the text, or fails."""
        if key == self._failing_key:
            raise ZeroDivisionError("for the test")
        return store.ParsedValue((), text)

    def update_tables(self, content_by_key, changed_keys, tables):
        """Returns the tables unchanged."""
        return tables


@given('a table format that fails at the key "{key}"')
def make_failing_store(context, key):
    """Makes a store whose format fails at one key."""
    context.harness = store_values.StoreHarness(FailingFormat(key))


@when('the values "{keys}" are offered')
def offer_values(context, keys):
    """Offers a value for each key."""
    for key in keys.split(", "):
        context.harness.offer(key, "text")


@then('the values "{keys}" are in force')
def check_values(context, keys):
    """Compares the keys in force."""
    assert sorted(context.harness.store.revision_by_key) == keys.split(", ")


class FailingReader(table_reader.TableReader):
    """A reader that fails with an unexpected error at its first call.

    Attributes:
        calls: Number of calls.
    """

    def __init__(self):
        self.calls = 0

    async def read(self, table_store):
        """Fails, returns a value, and then waits for ever."""
        self.calls += 1
        if self.calls == 1:
            raise ZeroDivisionError("for the test")
        if self.calls > 2:
            await asyncio.Event().wait()
        return table_reader.Reading((messages.TableValue(data.TableKey("a"), 1, "text"),))

    def reset(self):
        """Does nothing."""


@given("a reader of the configuration service that fails unexpectedly once")
def make_failing_reader(context):
    """Makes the reader and the replicator."""
    context.reader = FailingReader()
    context.replicator = replication.TableReplicator(
        FailingFormat(""),
        clock.SystemClock(),
        metrics.Metrics(data.InstanceId("i")),
        lambda instance, message: True,
        lambda: (),
        lambda: None,
    )


@when("a watcher runs until it has read {count:d} times")
def run_watcher(context, count):
    """Runs a watcher of the configuration service for at most 5 s."""

    async def run():
        watcher = service_watcher.ConfigServiceWatcher(
            settings.TimingSection().service_retry_ms / 50,
            context.reader,
            context.replicator,
            lambda: True,
            lambda: None,
        )
        watcher.start()
        async with asyncio.timeout(5.0):
            while context.reader.calls <= count:
                await asyncio.sleep(0.01)
        watcher.stop()

    asyncio.run(run())


@then("it has put the second value in force")
def check_second_value(context):
    """Checks that the replicator has the value."""
    assert context.replicator.store.value(data.TableKey("a")).text == "text"
