"""Steps that test the kernel of an owner."""

import collections
import heapq

import msgspec
from behave import given, then, when

from bench import workloads
from monsoonhoist.core import clock, data
from monsoonhoist.kernels import kernel
from monsoonhoist.protocol import events, messages

SERVICE = data.ServiceId("shard-0000")
SLOTS = 2


class OwnerHarness:
    """The kernel of an owner of one shard, with servers that reply after a fixed time.

    Args:
        latency_seconds: Latency of the servers.

    Attributes:
        clock: The kernel's clock.
        owner: The kernel.
        server_by_call: Server of each call in flight.
        max_in_flight: Largest number of calls in flight at one address of one server.
        remaining_at_start: Time left until the deadline at the start of each call, in seconds.
        failures: Failures that the owner reported.
    """

    def __init__(self, latency_seconds):
        self.clock = clock.ManualClock()
        self._latency_seconds = latency_seconds
        kernels = kernel.make_kernel(
            workloads.INSTANCE, data.ZoneId("z"), self.clock, kernel.PolicyNames(hedge="none")
        )
        self.owner = kernels.owner
        self._pending_ends = []
        self.server_by_call = {}
        self.max_in_flight = 0
        self.remaining_at_start = []
        self.failures = []
        tables = workloads.make_tables(1)
        pool = tables.pool_by_id[workloads.POOL]
        servers = tuple(
            msgspec.structs.replace(server, slots=SLOTS)
            for server in pool.servers_by_service[SERVICE]
        )
        self._pool = msgspec.structs.replace(pool, servers_by_service={SERVICE: servers})
        self._tables = msgspec.structs.replace(tables, pool_by_id={workloads.POOL: self._pool})
        self.publish()

    def publish(self):
        """Passes the tables to the owner."""
        self.execute(self.owner.handle(events.ViewChanged(self._tables, (workloads.INSTANCE,))))

    def change_addresses(self):
        """Passes tables in which the servers have other addresses to the owner."""
        servers = tuple(
            msgspec.structs.replace(server, address="127.0.0.1:2")
            for server in self._pool.servers_by_service[SERVICE]
        )
        pool = msgspec.structs.replace(self._pool, servers_by_service={SERVICE: servers})
        self._tables = msgspec.structs.replace(self._tables, pool_by_id={workloads.POOL: pool})
        self.publish()

    def send(self, number, remaining_ms):
        """Sends a sub-request to the owner."""
        spec = msgspec.structs.replace(workloads.make_query_spec(number), remaining_ms=remaining_ms)
        batch = messages.SubBatch(workloads.INSTANCE, spec, data.Snapshot(7), 1, (SERVICE,))
        self.execute(self.owner.handle(events.BatchArrived(batch)))

    def execute(self, commands):
        """Starts calls, which end after the latency, and records failures."""
        for command in commands:
            if isinstance(command, events.StartCall):
                self.server_by_call[command.call_id] = command.server
                self.update_max_in_flight()
                self.remaining_at_start.append(command.deadline - self.clock.monotonic())
                end_at = self.clock.monotonic() + self._latency_seconds
                heapq.heappush(self._pending_ends, (end_at, command.call_id))
            elif isinstance(command, events.SendMessage):
                self.failures.extend(command.message.failures)

    def update_max_in_flight(self):
        """Updates the largest number of calls in flight at one address of one server."""
        counts = collections.Counter(
            (server.server_id, server.address) for server in self.server_by_call.values()
        )
        self.max_in_flight = max(self.max_in_flight, *counts.values())

    def run(self):
        """Ends all calls, also those started meanwhile, with a reply; then one latency passes."""
        keys = data.KeyRange(0, 10)
        while self._pending_ends:
            self.clock.now_seconds, call_id = heapq.heappop(self._pending_ends)
            del self.server_by_call[call_id]
            reply = events.CallReplied(
                call_id, data.Snapshot(7), keys, (data.Holding(data.Snapshot(7), keys),), (), False
            )
            self.execute(self.owner.handle(reply))
        self.clock.advance(self._latency_seconds)
        self.execute(self.owner.handle(events.TimeReached()))


@given(
    "an owner of one shard whose servers replied to {count:d} calls after {latency_ms:d} ms each"
)
def make_owner(context, latency_ms, count):
    """Makes an owner that has observed the latency of its servers."""
    context.harness = OwnerHarness(latency_ms / 1000)
    for number in range(count):
        context.harness.send(number, 60_000)
        context.harness.run()


@when("a sub-request with {remaining_ms:d} ms left arrives while the shard is idle")
def send_one(context, remaining_ms):
    """Sends one sub-request."""
    context.harness.remaining_at_start.clear()
    context.harness.send(1000, remaining_ms)


@when(
    "{count:d} sub-requests with {remaining_ms:d} ms left arrive at once"
    " and the servers' latency stays the same"
)
def send_many(context, count, remaining_ms):
    """Sends sub-requests at once, then ends their calls."""
    context.harness.remaining_at_start.clear()
    for number in range(count):
        context.harness.send(1000 + number, remaining_ms)
    context.sent_count = count
    context.harness.run()


@when("{count:d} calls are in flight and the servers have new addresses in a new table")
def change_addresses(context, count):
    """Starts calls, then passes a table with new addresses to the owner."""
    for number in range(count):
        context.harness.send(1000 + number, 60_000)
    assert len(context.harness.server_by_call) == count
    context.harness.change_addresses()


@when("these calls end and {count:d} sub-requests arrive")
def end_calls_and_send(context, count):
    """Ends the calls in flight, then sends more sub-requests and ends their calls."""
    context.harness.run()
    for number in range(count):
        context.harness.send(2000 + number, 60_000)
    context.harness.run()


@then("no server has more calls in flight than its slots")
def check_max_in_flight(context):
    """Checks the largest number of calls in flight at one address of one server."""
    assert context.harness.max_in_flight <= SLOTS, context.harness.max_in_flight


@then("a server is called")
def check_called(context):
    """Checks that one call has started."""
    assert len(context.harness.remaining_at_start) == 1, context.harness.failures


@then("no call starts with less than {remaining_ms:d} ms left")
def check_remaining(context, remaining_ms):
    """Checks the time left at the start of each call."""
    assert context.harness.remaining_at_start
    assert min(context.harness.remaining_at_start) >= remaining_ms / 1000 - 1e-9, (
        context.harness.remaining_at_start
    )


@then('the dropped sub-requests are refused as "{reason}" and did not run')
def check_dropped(context, reason):
    """Checks that each sub-request led to a call, or was refused for the reason and did not run."""
    outcomes = {
        (failure.reason.value, failure.may_have_run) for failure in context.harness.failures
    }
    assert outcomes == {(reason, False)}, outcomes
    assert (
        len(context.harness.remaining_at_start) + len(context.harness.failures)
        == context.sent_count
    )
