"""Steps that connect the replicators of several instances by messages with a delay."""

import collections
import heapq
import itertools
import json

from behave import given, then, when

from features import store_values
from monsoonhoist import metrics
from monsoonhoist.core import clock, data
from monsoonhoist.node import replication
from monsoonhoist.platform import store_format
from monsoonhoist.protocol import messages

HEARTBEAT_SECONDS = 0.5
TICK_SECONDS = 0.01
READER = data.InstanceId("i0")
MISSING = data.InstanceId("i7")


class Network:
    """Replicators of instances that are all connected, on a manual clock.

    Args:
        count: Number of instances.
        delay_seconds: Time that each message takes.

    Attributes:
        clock: The clock.
        replicator_by_name: The replicators.
        listed_by_name: Number of revisions that each instance has sent on request.
        is_muted: Whether announcements and values to ``MISSING`` are lost.
    """

    def __init__(self, count, delay_seconds):
        self.clock = clock.ManualClock()
        self.listed_by_name = collections.Counter()
        self.is_muted = False
        self._delay_seconds = delay_seconds
        self._sequence = itertools.count()
        self._in_flight = []
        self._names = [data.InstanceId(f"i{number}") for number in range(count)]
        self._beats_at = {
            name: HEARTBEAT_SECONDS * number / count for number, name in enumerate(self._names)
        }
        self.replicator_by_name = {name: self._make_replicator(name) for name in self._names}

    def _make_replicator(self, name):
        return replication.TableReplicator(
            store_format.PlatformFormat(0.2),
            self.clock,
            metrics.Metrics(name),
            lambda receiver, message: self._send(name, receiver, message),
            lambda: tuple(other for other in self._names if other != name),
            lambda: None,
            call_later=self._call_later,
        )

    def _call_later(self, delay_seconds, function):
        due = self.clock.monotonic() + delay_seconds
        heapq.heappush(self._in_flight, (due, next(self._sequence), None, None, function))

    def _send(self, sender, receiver, message):
        if self.is_muted and receiver == MISSING:
            return True
        due = self.clock.monotonic() + self._delay_seconds
        heapq.heappush(self._in_flight, (due, next(self._sequence), sender, receiver, message))
        return True

    def run(self, seconds, act=lambda tick: None):
        """Lets time pass, and calls ``act`` with the number of each tick."""
        for tick in range(round(seconds / TICK_SECONDS)):
            self.clock.advance(TICK_SECONDS)
            act(tick)
            self._send_heartbeats()
            self._deliver()

    def _send_heartbeats(self):
        now = self.clock.monotonic()
        for name in self._names:
            if now >= self._beats_at[name]:
                self._beats_at[name] = now + HEARTBEAT_SECONDS
                digest = self.replicator_by_name[name].digest
                for other in self._names:
                    if other != name:
                        self.replicator_by_name[other].handle_digest(name, digest)

    def _deliver(self):
        while self._in_flight and self._in_flight[0][0] <= self.clock.monotonic():
            _, _, sender, receiver, message = heapq.heappop(self._in_flight)
            if receiver is None:
                message()
                continue
            replicator = self.replicator_by_name[receiver]
            if isinstance(message, messages.WantRevisions):
                self.listed_by_name[receiver] += len(replicator.store.revisions(message.buckets))
            replicator.handle_message(sender, message)


def make_server(number, version):
    """Returns a version of a server's item."""
    text = json.dumps({**store_values.SERVER_ITEM, "born": version})
    return messages.TableValue(data.TableKey(f"servers/{number}"), version, text)


def change_one(context, tick):
    """Lets the reader read a change of the next server item."""
    context.version += 1
    value = make_server(context.version % context.items, context.version)
    context.network.replicator_by_name[READER].offer((value,), "service")


@given("{count:d} connected instances with {items:d} server items, and messages that take 20 ms")
def make_network(context, count, items):
    """Makes the instances, and lets the items reach all."""
    context.items = items
    context.version = items
    context.network = Network(count, 0.02)
    config = messages.TableValue(data.TableKey("op/config"), 1, store_values.make_config(1))
    values = [config, *(make_server(number, number + 1) for number in range(items))]
    context.network.replicator_by_name[READER].offer(values, "service")
    context.network.run(5.0)
    context.network.listed_by_name.clear()


@when("{rate:d} server items change each second for {seconds:d} s")
def change_items(context, rate, seconds):
    """Changes one item in each tick."""
    assert rate * TICK_SECONDS == 1.0
    context.seconds = seconds
    context.network.run(seconds, lambda tick: change_one(context, tick))


@when("an instance misses a change, and {rate:d} server items change each second for {seconds:d} s")
def miss_change(context, rate, seconds):
    """Loses the messages of the first change to one instance, then changes other items."""
    context.missed_key = data.TableKey("servers/extra")
    context.missed_until = None
    text = json.dumps({**store_values.SERVER_ITEM, "born": 1})
    context.version += 1
    number = context.version
    missed = messages.TableValue(context.missed_key, number, text)
    network = context.network
    network.is_muted = True
    network.replicator_by_name[READER].offer((missed,), "service")
    network.run(0.2)
    network.is_muted = False

    def act(tick):
        change_one(context, tick)
        is_known = context.missed_key in network.replicator_by_name[MISSING].store.revision_by_key
        if is_known and context.missed_until is None:
            context.missed_until = tick * TICK_SECONDS

    network.run(seconds, act)


@then(
    "each instance has sent at most {lists:d} list of revisions each second, "
    "all keys of its tables counted as one"
)
def check_lists(context, lists):
    """Checks the number of revisions that were sent on request."""
    most = max(context.network.listed_by_name.values(), default=0)
    assert most <= lists * context.seconds * context.items, (most, context.items)


@then("after {seconds:d} more seconds all instances have the same tables")
def check_equal(context, seconds):
    """Checks that nothing is missing once the values no longer change."""
    context.network.run(seconds)
    digests = {each.digest for each in context.network.replicator_by_name.values()}
    assert len(digests) == 1


@then("that instance has the change after at most {seconds:d} s")
def check_found(context, seconds):
    """Checks when the missed value was found."""
    assert context.missed_until is not None and context.missed_until <= seconds, (
        context.missed_until
    )
