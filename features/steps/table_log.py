"""Steps that offer table values to an instance and check its log lines and counters."""

import json
import logging

from behave import given, then, when

from features import store_values
from features.steps import request_log
from monsoonhoist import metrics
from monsoonhoist.core import clock, data
from monsoonhoist.node import replication
from monsoonhoist.platform import store_format
from monsoonhoist.protocol import messages

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
        self.replicator = replication.TableReplicator(
            store_format.PlatformFormat(0.2),
            self.clock,
            self.counters,
            lambda receiver, message: True,
            lambda: (),
            lambda: None,
        )
        self.offer_config("service", IN_FORCE_NUMBER, IN_FORCE_VERSION)
        self.clock.advance(IN_FORCE_SECONDS)

    def offer(self, source, key, number, text, era=0):
        """Offers a value."""
        value = messages.TableValue(data.TableKey(key), number, text, era)
        self.replicator.offer((value,), source)

    def offer_config(self, source, number, version, era=0):
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
def offer_config(context, number, version, era=0):
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
