"""Steps that test the choice of backend servers with simulated load."""

import dataclasses
import datetime
import heapq
import itertools
import random

import msgspec
from behave import given, then, when

from monsoonhoist.core import clock, data, exchange
from monsoonhoist.kernels import kernel
from monsoonhoist.overload import budget
from monsoonhoist.protocol import events, message_events, messages
from monsoonhoist.queries import plan
from monsoonhoist.shards import kernel_config

LOCAL_INSTANCE = data.InstanceId("instance-1")
ZONE = data.ZoneId("z")
POOL = data.PoolId("set/1")
SERVICE = data.ServiceId("shard-1")
ROUTE = data.RouteId("r")
LATENCY_SECONDS = 0.02
DEADLINE_MS = 400
WINDOW_SECONDS = 10.0
POLICIES = kernel.PolicyNames(ownership="cell", balance="expected-latency", hedge="recent-quantile")


@dataclasses.dataclass
class Behaviour:
    """Behaviour of a simulated server.

    Attributes:
        refused_share: Share of calls that the server refuses, from 0 to 1.
        failed_share: Share of calls that fail, from 0 to 1.
        latency_factor: Latency as a multiple of the usual one.
        jitter: Scale of the random variation of the latency, from 0 to 1.
        is_hanging: Whether the server never replies.
        report: What the server says about itself in each response.
    """

    refused_share: float = 0.0
    failed_share: float = 0.0
    latency_factor: float = 1.0
    jitter: float = 1.0
    is_hanging: bool = False
    report: exchange.ServerReport = exchange.NO_REPORT


class Simulation:
    """Simulation of an instance that calls the servers of a shard itself.

    Args:
        behaviour_by_server: Behaviour of each server of the shard.

    Attributes:
        clock: The simulated clock.
        ratio: Extra calls of the budget, as a share of first calls.
        options: Options of the owner.
        absent_servers: Servers that the tables do not contain.
        entry: Kernel of the entry.
        owner: Kernel of the owner.
        first_calls_by_server: Number of first calls to each server.
        first_call_times: Times at which queries were sent, in monotonic seconds.
        extra_call_times: Times of the calls beyond the first of a query, likewise.
        hedge_share: Hedges that the query of the last call allows, as a share of first calls.
        succeeded_by_query: Whether the owner returned results, for each query that has ended.
    """

    def __init__(self, behaviour_by_server):
        self.behaviour_by_server = behaviour_by_server
        self.clock = clock.ManualClock()
        self._rng = random.Random(7)
        self.ratio = 0.2
        self.options = kernel_config.KernelOptions(
            budget.BudgetOptions(52.0, hedges_use_allowance=True)
        )
        self.absent_servers = set()
        self.entry = None
        self.owner = None
        self._sequence = itertools.count()
        self._pending_ends = []
        self._server_by_call = {}
        self.first_calls_by_server = dict.fromkeys(behaviour_by_server, 0)
        self._called_queries = set()
        self.extra_call_times = []
        self.first_call_times = []
        self.hedge_share = 0.0
        self.succeeded_by_query = {}

    def start(self):
        """Makes the kernels and passes the tables to them."""
        kernels = kernel.make_kernel(LOCAL_INSTANCE, ZONE, self.clock, POLICIES, self.options)
        self.entry = kernels.entry
        self.owner = kernels.owner
        self.publish(leaving=False)

    def publish(self, leaving):
        """Passes tables to the kernels in which all servers are leaving or none is."""
        servers = tuple(
            data.Server(data.ServerId(name), SERVICE, f"{name}:1", ZONE, 4, 100, leaving)
            for name in self.behaviour_by_server
            if name not in self.absent_servers
        )
        pool = data.Pool(POOL, 1, {SERVICE: servers}, data.Snapshot(1), "greatest-records")
        route = data.Route(
            ROUTE,
            data.Rank.URGENT,
            POOL,
            True,
            datetime.timedelta(milliseconds=DEADLINE_MS / (1 - plan.ANSWER_MARGIN_SHARE)),
            1.0,
            self.ratio,
            attempts=2,
        )
        view = events.ViewChanged(data.Tables({ROUTE: route}, {POOL: pool}), (LOCAL_INSTANCE,))
        self.handle(self.entry, view)
        self.handle(self.owner, view)

    def run(self, count, interval_seconds):
        """Sends queries at a constant rate and waits until all calls have ended."""
        if self.owner is None:
            self.start()
        start = self.clock.now_seconds
        for number in range(count):
            self.advance(start + number * interval_seconds)
            self.send_query()
        self.advance(self.clock.now_seconds + 1.0)

    def send_query(self):
        """Sends a query for the shard."""
        content = exchange.HttpRequest("GET", "/x/", (), b"")
        request = exchange.CallerRequest("r", content, 0)
        self.first_call_times.append(self.clock.now_seconds)
        query_id = data.QueryId(str(next(self._sequence)))
        self.handle(self.entry, events.QueryArrived(query_id, ROUTE, request))

    def handle(self, event_kernel, event):
        """Passes an event to a kernel and executes the resulting commands."""
        for command in event_kernel.handle(event):
            match command:
                case events.StartCall():
                    self.start_call(command)
                case events.CancelCall():
                    self._server_by_call.pop(command.call_id, None)
                    event = events.CallFailed(command.call_id, data.Refusal.CANCELLED, True)
                    heapq.heappush(
                        self._pending_ends, (self.clock.now_seconds, next(self._sequence), event)
                    )
                case events.SendMessage():
                    self.deliver(command.message, command.instance)
                case _:
                    self.execute_other(command)

    def execute_other(self, command):
        """Ignores the commands that have no effect on the simulation."""

    def deliver(self, message, instance):
        """Passes a message from the instance to itself to the kernel that handles it."""
        if isinstance(message, messages.SubReply):
            self.succeeded_by_query[message.query_id] = bool(message.parts)
        event = message_events.to_entry_event(LOCAL_INSTANCE, message)
        if event is not None:
            self.handle(self.entry, event)
        event = message_events.to_owner_event(message)
        if event is not None:
            self.handle(self.owner, event)

    def start_call(self, command):
        """Starts a call and schedules its end, which depends on the server's behaviour."""
        server_id = command.server.server_id
        if command.query.query_id in self._called_queries:
            self.extra_call_times.append(self.clock.now_seconds)
        else:
            self._called_queries.add(command.query.query_id)
            self.first_calls_by_server[server_id] += 1
        self._server_by_call[command.call_id] = server_id
        self.hedge_share = command.query.hedge_budget
        behaviour = self.behaviour_by_server[server_id]
        draw = self._rng.random()
        random_factor = 1.0 + behaviour.jitter * self._rng.uniform(-0.2, 0.3)
        latency = LATENCY_SECONDS * behaviour.latency_factor * random_factor
        if behaviour.is_hanging:
            latency = command.deadline - self.clock.now_seconds
            event = events.CallFailed(command.call_id, data.Refusal.TIMEOUT, True)
        elif draw < behaviour.refused_share:
            latency = 0.004
            load = exchange.Load(0, 0, 4)
            event = events.CallFailed(
                command.call_id,
                data.Refusal.SHED,
                False,
                report=exchange.ServerReport(load=load),
            )
        elif draw < behaviour.refused_share + behaviour.failed_share:
            event = events.CallFailed(command.call_id, data.Refusal.BACKEND_ERROR, True)
        else:
            event = events.CallReplied(
                command.call_id, data.Snapshot(1), data.KeyRange(0, 0), (), (b"r" * 16,), False
            )
        end_at = self.clock.now_seconds + latency
        if behaviour.report != exchange.NO_REPORT:
            event = msgspec.structs.replace(event, report=behaviour.report)
        heapq.heappush(self._pending_ends, (end_at, next(self._sequence), event))

    def advance(self, until):
        """Advances the clock, ends calls and passes ``TimeReached`` to the kernels when due."""
        while True:
            end_at = self._pending_ends[0][0] if self._pending_ends else None
            wakes = (self.entry.next_wake(), self.owner.next_wake())
            times = [time for time in (*wakes, end_at) if time is not None]
            if not times or min(times) > until:
                break
            self.clock.now_seconds = max(self.clock.now_seconds, min(times))
            if end_at is not None and end_at <= self.clock.now_seconds:
                _, _, event = heapq.heappop(self._pending_ends)
                is_cancelled = getattr(event, "reason", None) is data.Refusal.CANCELLED
                if is_cancelled or self._server_by_call.pop(event.call_id, None):
                    self.handle(self.owner, event)
                continue
            for event_kernel in (self.entry, self.owner):
                wake = event_kernel.next_wake()
                if wake is not None and wake <= self.clock.now_seconds:
                    self.handle(event_kernel, events.TimeReached())
        self.clock.now_seconds = until

    def reset_counts(self):
        """Resets the first calls of each server and the outcomes of queries."""
        self.first_calls_by_server = dict.fromkeys(self.behaviour_by_server, 0)
        self.succeeded_by_query.clear()


@given('a shard of two servers, of which "b" refuses {percent:d}% of calls while idle')
def make_refusing(context, percent):
    """Makes a shard of two servers, one of which refuses calls."""
    context.simulation = Simulation({"a": Behaviour(), "b": Behaviour(refused_share=percent / 100)})


@given("a shard of two servers, which both refuse {percent:d}% of calls while idle")
def make_both_refusing(context, percent):
    """Makes a shard of two servers that refuse calls."""
    context.simulation = Simulation({name: Behaviour(refused_share=percent / 100) for name in "ab"})


@given('a shard of two servers, of which "b" fails {percent:d}% of calls')
def make_failing(context, percent):
    """Makes a shard of two servers, one of which fails calls."""
    context.simulation = Simulation({"a": Behaviour(), "b": Behaviour(failed_share=percent / 100)})


@given('a shard of two servers, of which "b" takes {factor:d} times as long')
def make_slow(context, factor):
    """Makes a shard of two servers, one of which is slow."""
    context.simulation = Simulation({"a": Behaviour(), "b": Behaviour(latency_factor=factor)})


@given('a shard of two servers, of which "b" does not reply')
def make_hanging(context):
    """Makes a shard of two servers, one of which never replies."""
    context.simulation = Simulation({"a": Behaviour(), "b": Behaviour(is_hanging=True)})


@given('a shard of two servers, of which only "b" is in the table')
def make_one_in_table(context):
    """Makes two servers of constant latency, one of which the tables do not contain."""
    context.simulation = Simulation({"a": Behaviour(jitter=0.0), "b": Behaviour(jitter=0.0)})
    context.simulation.absent_servers = {"a"}


@when(
    'server "b" has {percent:d}% of its usual latency and {count:d} sub-requests arrive,'
    " one every {interval_ms:d} ms"
)
def change_latency(context, percent, count, interval_ms):
    """Changes the latency of a server and sends more queries."""
    context.simulation.behaviour_by_server["b"] = Behaviour(
        latency_factor=percent / 100, jitter=0.0
    )
    context.simulation.run(count, interval_ms / 1000)


@when(
    "both servers are in the table and {count:d} sub-requests arrive, one every {interval_ms:d} ms"
)
def add_server_again(context, count, interval_ms):
    """Passes tables with both servers to the kernels and sends more queries."""
    context.simulation.absent_servers = set()
    context.simulation.publish(leaving=False)
    context.simulation.reset_counts()
    context.simulation.run(count, interval_ms / 1000)


@when(
    'the table lists only server "a" and {count:d} sub-requests arrive,'
    " one every {interval_ms:d} ms"
)
def remove_server(context, count, interval_ms):
    """Passes tables without "b" to the kernels and sends more queries."""
    context.simulation.absent_servers = {"b"}
    context.simulation.publish(leaving=False)
    context.simulation.run(count, interval_ms / 1000)


@given('server "b" takes {factor:d} times as long')
def slow_server(context, factor):
    """Makes a server of the shard slow."""
    context.simulation.behaviour_by_server["b"] = Behaviour(latency_factor=factor)


@when('server "b" works normally')
def repair_server(context):
    """Sets the usual behaviour of a server."""
    context.simulation.behaviour_by_server["b"] = Behaviour()


@then("extra calls are at most {most:d}% of first calls")
def check_extra_calls(context, most):
    """Checks that there are extra calls, and their share."""
    simulation = context.simulation
    assert 0 < len(simulation.extra_call_times) * 100 <= most * len(simulation.first_call_times), (
        len(simulation.extra_call_times)
    )


@given("a budget of {percent:d}% of calls and {more:d} more in 10 s, the latter for retries only")
def set_retry_budget(context, percent, more):
    """Sets a budget of which hedges may use only the share of first calls."""
    context.simulation.ratio = percent / 100
    context.simulation.options = kernel_config.KernelOptions(budget.BudgetOptions(float(more)))


@given("a budget of {percent:d}% of calls and {more:d} more in 10 s")
def set_budget(context, percent, more):
    """Sets a budget that retries, also after refusals, and hedges use."""
    context.simulation.ratio = percent / 100
    context.simulation.options = kernel_config.KernelOptions(
        budget.BudgetOptions(float(more), refusals_cost=True, hedges_use_allowance=True)
    )
    context.allowance = more


@when("{count:d} sub-requests arrive, one every {interval_ms:d} ms")
def run_load(context, count, interval_ms):
    """Sends queries at a constant rate."""
    context.simulation.run(count, interval_ms / 1000)


@when('server "b" works normally and {count:d} sub-requests arrive, one every {interval_ms:d} ms')
def recover(context, count, interval_ms):
    """Sets the usual behaviour of a server and sends more queries."""
    context.simulation.behaviour_by_server["b"] = Behaviour()
    context.simulation.reset_counts()
    context.simulation.run(count, interval_ms / 1000)


@when('sub-requests arrive until server "b" has just failed one')
def run_until_failed(context):
    """Sends queries one after another until one has been sent to "b", and waits for its end."""
    simulation = context.simulation
    simulation.start()
    while not simulation.first_calls_by_server["b"]:
        simulation.send_query()
        simulation.advance(simulation.clock.now_seconds + 2 * LATENCY_SECONDS)


@when("another sub-request arrives")
def run_one(context):
    """Sends a query and waits until its deadline."""
    context.simulation.send_query()
    context.simulation.advance(context.simulation.clock.now_seconds + DEADLINE_MS / 1000)


@when('server "a" refuses all calls and server "b" works normally')
def exchange_behaviour(context):
    """Changes the behaviour of both servers, while "b" is still in its backoff."""
    context.simulation.behaviour_by_server = {
        "a": Behaviour(refused_share=1.0),
        "b": Behaviour(),
    }
    context.simulation.reset_counts()


@then('server "b" receives at most {most:d}% of first calls')
def check_first_calls_max(context, most):
    """Checks the share of first calls that a server received."""
    calls_by_server = context.simulation.first_calls_by_server
    assert calls_by_server["b"] * 100 <= most * sum(calls_by_server.values()), calls_by_server


@then('server "{name}" receives at least {least:d}% of first calls')
def check_first_calls_min(context, name, least):
    """Checks the share of first calls that a server received."""
    calls_by_server = context.simulation.first_calls_by_server
    assert calls_by_server[name] * 100 >= least * sum(calls_by_server.values()), calls_by_server


@then("at most {most:d}% of sub-requests end without results")
def check_without_results(context, most):
    """Checks the share of sub-requests without results."""
    failed = sum(not succeeded for succeeded in context.simulation.succeeded_by_query.values())
    assert failed * 100 <= most * len(context.simulation.succeeded_by_query), (
        failed,
        len(context.simulation.succeeded_by_query),
    )


@then("no window of 10 s has more extra calls than the budget")
def check_budget(context):
    """Checks the extra calls of each window that begins with one."""
    simulation = context.simulation
    for start in simulation.extra_call_times:
        end = start + WINDOW_SECONDS
        extra = sum(start <= time < end for time in simulation.extra_call_times)
        first = sum(start <= time < end for time in simulation.first_call_times)
        assert extra <= simulation.ratio * first + context.allowance, (start, extra, first)


@then("the last query allows hedges for {least:d}% to {most:d}% of first calls")
def check_hedge_share(context, least, most):
    """Checks the share of hedges that the last query allows."""
    hedge_percent = round(100 * context.simulation.hedge_share)
    assert least <= hedge_percent <= most, hedge_percent


@given("a shard of two servers with a grace period of {grace_ms:d} ms when they leave")
def make_with_grace(context, grace_ms):
    """Makes a shard of two usual servers and sets the grace period."""
    context.simulation = Simulation({"a": Behaviour(), "b": Behaviour()})
    context.simulation.options = kernel_config.KernelOptions(leaving_grace_seconds=grace_ms / 1000)


@given("the table marks both servers as leaving")
@when("the table marks both servers as leaving")
def mark_leaving(context):
    """Passes tables to the kernels in which the servers are leaving."""
    if context.simulation.owner is None:
        context.simulation.start()
    context.simulation.publish(leaving=True)


@then("a sub-request {ms:d} ms later is sent to a server")
def check_called(context, ms):
    """Checks that a query after a pause leads to a call."""
    assert count_calls_after(context.simulation, ms) == 1


@then("a sub-request {ms:d} ms later is not sent to a server")
def check_not_called(context, ms):
    """Checks that a query after a pause leads to no call."""
    assert count_calls_after(context.simulation, ms) == 0


def count_calls_after(simulation, ms):
    """Sends a query after a pause and returns the number of first calls."""
    simulation.reset_counts()
    simulation.advance(simulation.clock.now_seconds + ms / 1000)
    simulation.send_query()
    return sum(simulation.first_calls_by_server.values())
