"""Steps that offer table values to an instance and check its log lines and counters."""

import asyncio
import datetime
import json
import logging

from behave import given, then, when

from features import store_values
from features.steps import request_log
from monsoonhoist import metrics
from monsoonhoist.core import clock, data
from monsoonhoist.node import (
    config_service,
    key_ranges,
    range_reader,
    replication,
    table_reader,
)
from monsoonhoist.platform import store_format
from monsoonhoist.protocol import messages, packed_tables
from monsoonhoist.tables import eras

CONFIG_KEY = data.TableKey("op/config")
IN_FORCE_NUMBER = 50
IN_FORCE_VERSION = 3
START_SECONDS = 100.0
IN_FORCE_SECONDS = 5.0
MS_PER_SECOND = 1000


class LoggedInstance:
    """A replicator without peers, with its log lines.

    Attributes:
        clock: The clock of the instance.
        counters: Its metrics.
        replicator: The replicator.
        handler: Stores the log records of the package.
    """

    def __init__(self):
        self.clock = clock.ManualClock(START_SECONDS)
        self.counters = metrics.Metrics(data.InstanceId("i"))
        self.handler = request_log.RecordingHandler()
        self.replicator = self.make_replicator()
        self.offer_config("service", IN_FORCE_NUMBER, IN_FORCE_VERSION)
        self.clock.advance(IN_FORCE_SECONDS)

    def make_replicator(self):
        """Returns a replicator without values."""
        return replication.TableReplicator(
            store_format.PlatformFormat(0.2),
            self.clock,
            self.counters,
            lambda receiver, message: True,
            lambda: (),
            lambda: None,
        )

    def offer(self, source, key, number, text, era=eras.UNSTATED):
        """Offers a value."""
        value = messages.TableValue(data.TableKey(key), number, text, era)
        self.replicator.offer((value,), source)

    def offer_config(self, source, number, version, era=eras.UNSTATED):
        """Offers a configuration."""
        self.offer(source, CONFIG_KEY, number, store_values.make_config(version), era)

    def offer_server(self, source, name, number):
        """Offers the item of a server."""
        self.offer(source, f"servers/{name}", number, json.dumps(store_values.SERVER_ITEM))

    def lines(self, message):
        """Returns the log records with a message."""
        return [record for record in self.handler.records if record.getMessage() == message]


def logged_instance(context):
    """Returns the instance of a scenario, made on first use; its log lines are recorded."""
    if "logged" not in context:
        context.logged = LoggedInstance()
        logger = logging.getLogger("monsoonhoist")
        logger.setLevel(logging.INFO)
        logger.addHandler(context.logged.handler)
        context.add_cleanup(logger.removeHandler, context.logged.handler)
        context.add_cleanup(logger.setLevel, logging.NOTSET)
    return context.logged


@given("all keys were listed up to number {number:d}")
def record_listing(context, number):
    """Records a list of all keys."""
    logged = logged_instance(context)
    logged.replicator.store.record_listing(number)


@given("an instance without values")
def make_empty(context):
    """Makes an instance that has read nothing."""
    logged = logged_instance(context)
    logged.replicator = logged.make_replicator()


@given("a reply of the service has stated era {era:d}")
@when("a reply of the service states era {era:d}")
def state_era(context, era):
    """Passes the era of a reply to the instance, as the readers of the service do."""
    logged = logged_instance(context)
    table_reader.check_era(era, logged.replicator.store)


@when(
    'a peer offers "op/config" with number {number:d} and version {version:d} '
    "of era {era:d} in a message"
)
def send_config(context, number, version, era):
    """Passes a peer's message with a configuration to the instance."""
    text = store_values.make_config(version)
    packed = packed_tables.pack(messages.TableValue(CONFIG_KEY, number, text, era))
    message = messages.PackedTables((packed,))
    logged_instance(context).replicator.handle_message(data.InstanceId("p"), message)


class ListedService(key_ranges.RangeClient):
    """Service with one value, which never changes.

    Args:
        value: The value.
        clock: The clock of the instance, which advances with each list.
    """

    def __init__(self, value, time_source):
        self.value = value
        self.clock = time_source
        self.list_count = 0

    async def read_page(self, prefix, after):
        """Returns the value; the time advances, so that its era is then settled."""
        self.list_count += 1
        return key_ranges.Page((self.value,), self.value.number, era=self.value.era)

    async def watch(self, prefix, revision, duration):
        """Advances the time to when the era is settled, and waits for the end of the watch."""
        self.clock.advance(eras.SETTLE_SECONDS)
        await asyncio.sleep(duration.total_seconds())
        raise AssertionError("the watch was not ended")


@when(
    'the service is listed with "op/config" of number {number:d} and version {version:d}, '
    "now and after the era is settled"
)
def list_service(context, number, version):
    """Reads the service by lists until the second one has been offered."""
    logged = logged_instance(context)
    table_store = logged.replicator.store
    text = store_values.make_config(version)
    value = messages.TableValue(CONFIG_KEY, number, text, table_store.eras.newest)
    service = ListedService(value, logged.clock)
    watch, no_delay = datetime.timedelta(seconds=30), datetime.timedelta(0)
    key_range = key_ranges.KeyRange("", watch, no_delay)
    reader = range_reader.RangeReader(service, [key_range], no_delay, lambda key: True)

    async def run():
        async with asyncio.timeout(10.0):
            while service.list_count < 2:
                reading = await reader.read(table_store)
                logged.replicator.offer(reading.values, "service")
        reader.reset()

    asyncio.run(run())


class NativeService:
    """Client of a native service with one value, which never changes.

    Args:
        value: The value.
        time_source: The clock of the instance, which advances while it waits for a change.
    """

    def __init__(self, value, time_source):
        self.value = value
        self.clock = time_source

    async def watch(self, after, era, wait):
        """Returns the revisions, after the wait if the client knows them."""
        if after:
            self.clock.advance(wait.total_seconds())
        number_by_key = {self.value.key: self.value.number}
        return config_service.RevisionIndex(self.value.number, number_by_key, self.value.era)

    async def fetch_value(self, key):
        """Returns the value."""
        return self.value


@when(
    'the native service states era {era:d} and "op/config" of number {number:d} '
    "and version {version:d}, twice"
)
def read_native_service(context, era, number, version):
    """Reads the native service twice, the second time after the era is settled."""
    logged = logged_instance(context)
    text = store_values.make_config(version)
    value = messages.TableValue(CONFIG_KEY, number, text, era)
    service = NativeService(value, logged.clock)
    reader = config_service.ConfigServiceReader(service, datetime.timedelta(seconds=10))
    for _ in range(2):
        reading = asyncio.run(reader.read(logged.replicator.store))
        logged.replicator.offer(reading.values, "service")


@given("the servers {first:d} to {last:d} were put in force with number {number:d}")
def put_servers_in_force(context, first, last, number):
    """Offers the items of servers."""
    logged = logged_instance(context)
    for server in range(first, last + 1):
        logged.offer_server("service", server, number)
    logged.clock.advance(IN_FORCE_SECONDS)


@given(
    'the service offered "op/config" with number {number:d} and version {version:d} {ms:d} ms ago'
)
def offer_config_before(context, number, version, ms):
    """Offers a configuration of the service, and advances the clock."""
    logged = logged_instance(context)
    logged.offer_config("service", number, version)
    logged.clock.advance(ms / MS_PER_SECOND)


@when('the service offers "op/config" with number {number:d} and version {version:d}')
@when(
    'the service offers "op/config" with number {number:d} and version {version:d} of era {era:d}'
)
def offer_config(context, number, version, era=eras.UNSTATED):
    """Offers a configuration of the service."""
    logged_instance(context).offer_config("service", number, version, era)


@when('a peer offers "op/config" with number {number:d} and version {version:d}')
def offer_peer_config(context, number, version):
    """Offers a configuration of a peer."""
    logged_instance(context).offer_config("peer", number, version)


@when('the service offers the server "{name}" with number {number:d}')
def offer_server(context, name, number):
    """Offers a server's item of the service."""
    logged_instance(context).offer_server("service", name, number)


@when('a peer offers the server "{name}" with number {number:d}')
def offer_peer_server(context, name, number):
    """Offers a server's item of a peer."""
    logged_instance(context).offer_server("peer", name, number)


@when('a peer offers the removal of the server "{name}" with number {number:d}')
def offer_peer_removal(context, name, number):
    """Offers the removal of a server's item."""
    logged_instance(context).offer("peer", f"servers/{name}", number, "")


@when(
    'the service offers "op/config" with number {number:d} and version {version:d} '
    "every {interval_ms:d} ms for {seconds:g} s"
)
def offer_config_repeatedly(context, number, version, interval_ms, seconds):
    """Offers a configuration at intervals."""
    logged = logged_instance(context)
    for _ in range(round(seconds * MS_PER_SECOND / interval_ms)):
        logged.offer_config("service", number, version)
        logged.clock.advance(interval_ms / MS_PER_SECOND)


@when(
    "the service offers the servers {first:d} to {last:d} with number {number:d} "
    "within {seconds:d} s"
)
def offer_servers(context, first, last, number, seconds):
    """Offers the items of servers one after another, and notes the time of each line."""
    logged = logged_instance(context)
    interval = seconds / (last - first + 1)
    context.line_times = []
    for server in range(first, last + 1):
        count = len(logged.lines("table value not in force"))
        logged.offer_server("service", server, number)
        if len(logged.lines("table value not in force")) > count:
            context.line_times.append(logged.clock.monotonic())
        logged.clock.advance(interval)


@then('there is one line "{message}" with these fields')
def check_line(context, message):
    """Compares the fields of the only line with a message."""
    (record,) = context.logged.lines(message)
    (row,) = context.table
    fields = {**record.__dict__, "level": record.levelname}
    seen = {name: str(fields[name]) for name in row.headings}
    assert seen == row.as_dict(), seen


@then('there are no lines "{message}"')
def check_no_line(context, message):
    """Checks that there is no line with a message."""
    lines = context.logged.lines(message)
    assert not lines, [record.__dict__ for record in lines]


@then('there are {count:d} lines "{message}", which left out {left_out:d} others')
def check_left_out(context, count, message, left_out):
    """Checks the number of lines, and the number of values without one that they state."""
    lines = context.logged.lines(message)
    stated = sum(record.left_out for record in lines)
    assert (len(lines), stated) == (count, left_out), (len(lines), stated)


@then('there are {count:d} lines "{message}", at most {most:d} in any second')
def check_rate(context, count, message, most):
    """Checks the number of lines and the rate at which they were written."""
    times = context.line_times
    assert len(context.logged.lines(message)) == len(times) == count, len(times)
    assert all(late - early >= 0.999 for early, late in zip(times, times[most:], strict=False))


@then('{count:d} value from the "{source}" was counted as "{result}"')
def check_count(context, count, source, result):
    """Compares the counter of offered values, without the one at the start."""
    counter = context.logged.counters.counter_by_name["monsoonhoist_table_values"]
    labels = (("result", result), ("source", source))
    assert counter.count_by_labels[labels] == count, counter.count_by_labels
