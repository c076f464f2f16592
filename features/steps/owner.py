"""Steps of the owner's kernel."""

import collections
import heapq

import msgspec
from behave import given, then, when

from bench import scenes
from monsoonhoist.core import clock, data, events, kernel, messages

SERVICE = data.ServiceId("shard-0000")
SLOTS = 2


class Bench:
    """An owner of one shard and servers that reply after a fixed time."""

    def __init__(self, latency_seconds):
        self.clock = clock.ManualClock()
        self.latency_seconds = latency_seconds
        made = kernel.make_kernel(
            scenes.MYSELF, data.ZoneId("z"), self.clock, kernel.PolicyNames(hedge="none")
        )
        self.owner = made.owner
        self.due = []
        self.server_by_call = {}
        self.peak = 0
        self.calls = []
        self.failures = []
        tables = scenes.tables_of(1)
        pool = tables.pool_by_id[scenes.POOL]
        servers = tuple(
            msgspec.structs.replace(server, slots=SLOTS)
            for server in pool.servers_by_service[SERVICE]
        )
        self.pool = msgspec.structs.replace(pool, servers_by_service={SERVICE: servers})
        self.tables = msgspec.structs.replace(tables, pool_by_id={scenes.POOL: self.pool})
        self.publish()

    def publish(self):
        """Gives the owner the tables."""
        self.perform(self.owner.handle(events.ViewChanged(self.tables, (scenes.MYSELF,))))

    def move_servers(self):
        """Gives the owner tables with other addresses of the servers."""
        servers = tuple(
            msgspec.structs.replace(server, address="127.0.0.1:2")
            for server in self.pool.servers_by_service[SERVICE]
        )
        moved = msgspec.structs.replace(self.pool, servers_by_service={SERVICE: servers})
        self.tables = msgspec.structs.replace(self.tables, pool_by_id={scenes.POOL: moved})
        self.publish()

    def send(self, number, remaining_ms):
        """Gives the owner a sub-request."""
        spec = msgspec.structs.replace(scenes.spec_of(number), remaining_ms=remaining_ms)
        batch = messages.SubBatch(scenes.MYSELF, spec, data.Snapshot(7), 1, (SERVICE,))
        self.perform(self.owner.handle(events.BatchArrived(batch)))

    def perform(self, commands):
        """Notes calls with their time left, and failures."""
        for command in commands:
            if isinstance(command, events.StartCall):
                self.server_by_call[command.call_id] = command.server
                self.note_peak()
                self.calls.append(command.deadline - self.clock.monotonic())
                due = self.clock.monotonic() + self.latency_seconds
                heapq.heappush(self.due, (due, command.call_id))
            elif isinstance(command, events.SendMessage):
                self.failures.extend(command.message.failures)

    def note_peak(self):
        """Notes the most calls in flight at one address of one server."""
        counts = collections.Counter(
            (server.server_id, server.address) for server in self.server_by_call.values()
        )
        self.peak = max(self.peak, *counts.values())

    def run(self):
        """Lets all calls end."""
        keys = data.KeyRange(0, 10)
        while self.due:
            self.clock.now_seconds, call_id = heapq.heappop(self.due)
            del self.server_by_call[call_id]
            reply = events.CallReplied(
                call_id, data.Snapshot(7), keys, (data.Holding(data.Snapshot(7), keys),), (), False
            )
            self.perform(self.owner.handle(reply))
        self.clock.advance(self.latency_seconds)
        self.perform(self.owner.handle(events.TimeReached()))


@given("an owner of one shard whose servers took {latency_ms:d} ms for {count:d} calls")
def make_bench(context, latency_ms, count):
    """Lets the owner learn the servers' latency."""
    context.bench = Bench(latency_ms / 1000)
    for number in range(count):
        context.bench.send(number, 60_000)
        context.bench.run()


@when("a sub-request with {remaining_ms:d} ms left comes to the idle shard")
def send_one(context, remaining_ms):
    """Sends one sub-request."""
    context.bench.calls.clear()
    context.bench.send(1000, remaining_ms)


@when(
    "{count:d} sub-requests with {remaining_ms:d} ms left come at once"
    " and the servers go on like that"
)
def send_many(context, count, remaining_ms):
    """Sends many sub-requests and lets the calls end."""
    context.bench.calls.clear()
    for number in range(count):
        context.bench.send(1000 + number, remaining_ms)
    context.sent = count
    context.bench.run()


@when("{count:d} calls are in flight and the table gives the servers new addresses")
def move_servers(context, count):
    """Fills the servers' slots and moves the servers."""
    for number in range(count):
        context.bench.send(1000 + number, 60_000)
    assert len(context.bench.server_by_call) == count
    context.bench.move_servers()


@when("the old calls end and {count:d} sub-requests come")
def end_old(context, count):
    """Lets the old calls end, then sends more and lets them end."""
    context.bench.run()
    for number in range(count):
        context.bench.send(2000 + number, 60_000)
    context.bench.run()


@then("no server has more calls in flight than its slots")
def check_peak(context):
    """Checks the most calls in flight at one server."""
    assert context.bench.peak <= SLOTS, context.bench.peak


@then("a server is called")
def check_called(context):
    """Checks that a call has started."""
    assert len(context.bench.calls) == 1, context.bench.failures


@then("no call starts with less than {left_ms:d} ms left")
def check_left(context, left_ms):
    """Checks the time left at the start of each call."""
    assert context.bench.calls
    assert min(context.bench.calls) >= left_ms / 1000 - 1e-9, context.bench.calls


@then('the dropped sub-requests are refused as "{reason}" and did not run')
def check_dropped(context, reason):
    """Checks that each sub-request was called or refused, with proof."""
    found = {(failure.reason.value, failure.may_have_run) for failure in context.bench.failures}
    assert found == {(reason, False)}, found
    assert len(context.bench.calls) + len(context.bench.failures) == context.sent
