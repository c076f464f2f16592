"""Steps that test when an entry answers a gathered query with the parts that it has."""

import re

from behave import given, then, when

from bench import scheduling_load
from monsoonhoist.core import clock, data, exchange, scheduling
from monsoonhoist.kernels import kernel
from monsoonhoist.protocol import events, fanout, messages
from monsoonhoist.shards import kernel_config

INSTANCE = data.InstanceId("i-0")
OTHER = data.InstanceId("i-1")
ROUTE = data.RouteId("urgent")
SCHEDULING = scheduling.Options(answer_timing=True, delivery_ms=12)


class EntryHarness:
    """The kernel of an entry whose timers are handled late by a fixed time.

    Args:
        shards: Number of shards.
        lag_seconds: How late timers are handled.

    Attributes:
        answer: Latest answer and its time since the arrival of the query, in seconds.
    """

    def __init__(self, shards, lag_seconds):
        self._clock = clock.ManualClock(100.0)
        self._lag_seconds = lag_seconds
        options = kernel_config.KernelOptions(load_scheduling=SCHEDULING)
        names = kernel.PolicyNames(ownership="cell", admission="all")
        self._entry = kernel.make_kernel(
            INSTANCE, data.ZoneId("z"), self._clock, names, options
        ).entry
        tables = scheduling_load.make_tables(scheduling_load.Load(shards=shards))
        self._entry.handle(events.ViewChanged(tables, (INSTANCE, OTHER), (INSTANCE, OTHER), 1))
        self._services = sorted(tables.pool_by_id[scheduling_load.POOL].servers_by_service)
        self._number = 0
        self.answer = None

    def run(self, parts_by_second):
        """Runs a query whose parts arrive at the given times until it is answered."""
        self.answer = None
        self._number += 1
        start = self._clock.now_seconds
        query_id = data.QueryId(f"q{self._number}")
        content = exchange.HttpRequest("GET", "/", (), b"")
        request = exchange.CallerRequest(query_id, content, 1000, is_clamped=True)
        commands = self._entry.handle(events.QueryArrived(query_id, ROUTE, request))
        owner_by_service = {
            service: command.instance
            for command in commands
            if isinstance(command, events.SendMessage)
            for service in command.message.services
        }
        waiting = list(self._services)
        for seconds, count in parts_by_second:
            self._advance(start, start + seconds)
            for service in waiting[:count]:
                self._reply(start, query_id, owner_by_service[service], service)
            del waiting[:count]
        self._advance(start, start + 2.0)

    def _reply(self, start, query_id, owner, service):
        number = self._services.index(service)
        keys = data.KeyRange(number, number + 1)
        part = fanout.Part(service, 1, scheduling_load.SNAPSHOT, keys, ())
        reply = messages.SubReply(query_id, (part,), (), {}, 0, 1)
        self._execute(start, self._entry.handle(events.ReplyArrived(owner, reply)))

    def _advance(self, start, until):
        while (wake := self._entry.next_wake()) is not None and wake + self._lag_seconds <= until:
            self._clock.now_seconds = max(self._clock.now_seconds, wake + self._lag_seconds)
            self._execute(start, self._entry.handle(events.TimeReached()))
        self._clock.now_seconds = max(self._clock.now_seconds, until)

    def _execute(self, start, commands):
        for command in commands:
            if isinstance(command, events.Respond):
                self.answer = (command.answer, self._clock.now_seconds - start)


@given(
    "an entry for {shards:d} shards that times its answers and handles timers {lag_ms:d} ms late"
)
def make_entry(context, shards, lag_ms):
    """Makes an entry."""
    context.entry_harness = EntryHarness(shards, lag_ms / 1000)


@given("it has answered {count:d} queries with {parts:d} parts after {ms:d} ms")
def answer_queries(context, count, parts, ms):
    """Runs queries that lack parts, so that the entry knows how late its timers are."""
    for _ in range(count):
        context.entry_harness.run([(ms / 1000, parts)])
        assert context.entry_harness.answer is not None


@when("a query gets {arrivals}")
def run_query(context, arrivals):
    """Runs a query whose parts arrive as the text states."""
    pattern = r"(\d+) parts after (\d+) ms"
    context.entry_harness.run(
        [(int(ms) / 1000, int(count)) for count, ms in re.findall(pattern, arrivals)]
    )


@then("it is answered with {parts:d} parts after at most {ms:d} ms")
def check_answer(context, parts, ms):
    """Checks the parts of the answer and when it was given."""
    answer, seconds = context.entry_harness.answer
    assert len(answer.coverage.covered) == parts, (len(answer.coverage.covered), seconds)
    assert seconds * 1000 <= ms + 1e-3, seconds
