"""Steps that drive the kernels of one instance with load patterns."""

import dataclasses
import datetime
import heapq
import itertools
import random

from behave import given, then, when

from monsoonhoist.core import (
    budget,
    clock,
    data,
    events,
    exchange,
    kernel,
    message_events,
    messages,
    owner_config,
    plan,
)

MYSELF = data.InstanceId("instance-1")
ZONE = data.ZoneId("z")
POOL = data.PoolId("set/1")
SERVICE = data.ServiceId("shard-1")
ROUTE = data.RouteId("r")
LATENCY_SECONDS = 0.02
DEADLINE_MS = 400
WINDOW_SECONDS = 10.0
POLICIES = kernel.PolicyNames(ownership="cell", balance="expected-latency", hedge="recent-quantile")


@dataclasses.dataclass
class Server:
    """How a server behaves; shares are from 0 to 1, as is the spread of its latency."""

    refuses: float = 0.0
    fails: float = 0.0
    factor: float = 1.0
    spread: float = 1.0
    is_dark: bool = False


class LoadBench:
    """An instance that calls a shard's servers itself, and what became of its queries."""

    def __init__(self, server_by_name):
        self.server_by_name = server_by_name
        self.clock = clock.ManualClock()
        self.random = random.Random(7)
        self.ratio = 0.2
        self.options = owner_config.OwnerOptions(
            budget.BudgetOptions(52.0, hedges_use_allowance=True)
        )
        self.out_of_service = set()
        self.entry = None
        self.owner = None
        self.sequence = itertools.count()
        self.pending = []
        self.started_by_call = {}
        self.first_by_server = dict.fromkeys(server_by_name, 0)
        self.tried = set()
        self.extra_at = []
        self.first_at = []
        self.planned_share = 0.0
        self.ended = {}

    def start(self):
        """Makes the kernels."""
        made = kernel.make_kernel(MYSELF, ZONE, self.clock, POLICIES, self.options)
        self.entry = made.entry
        self.owner = made.owner
        self.publish(leaving=False)

    def publish(self, leaving):
        """Gives the kernels the tables."""
        servers = tuple(
            data.Server(data.ServerId(name), SERVICE, f"{name}:1", ZONE, 4, 100, leaving)
            for name in self.server_by_name
            if name not in self.out_of_service
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
        view = events.ViewChanged(data.Tables({ROUTE: route}, {POOL: pool}), (MYSELF,))
        self.take(self.entry, view)
        self.take(self.owner, view)

    def run(self, count, gap_seconds):
        """Sends sub-requests at a steady pace and lets all calls end."""
        if self.owner is None:
            self.start()
        start = self.clock.now_seconds
        for number in range(count):
            self.advance(start + number * gap_seconds)
            self.send()
        self.advance(self.clock.now_seconds + 1.0)

    def send(self):
        """Sends a query for the shard."""
        content = exchange.HttpRequest("GET", "/x/", (), b"")
        question = exchange.Question("r", content, 0)
        self.first_at.append(self.clock.now_seconds)
        query_id = data.QueryId(str(next(self.sequence)))
        self.take(self.entry, events.QueryArrived(query_id, ROUTE, question))

    def take(self, part, event):
        """Gives a kernel an event and performs its commands."""
        for command in part.handle(event):
            match command:
                case events.StartCall():
                    self.start_call(command)
                case events.CancelCall():
                    self.started_by_call.pop(command.call_id, None)
                    event = events.CallFailed(command.call_id, data.Refusal.CANCELLED, True)
                    heapq.heappush(
                        self.pending, (self.clock.now_seconds, next(self.sequence), event)
                    )
                case events.SendMessage():
                    self.deliver(command.message)

    def deliver(self, message):
        """Hands a message of the instance to itself to the kernel that it is for."""
        if isinstance(message, messages.SubReply):
            self.ended[message.query_id] = bool(message.parts)
        event = message_events.to_entry_event(MYSELF, message)
        if event is not None:
            self.take(self.entry, event)
        event = message_events.to_owner_event(message)
        if event is not None:
            self.take(self.owner, event)

    def start_call(self, command):
        """Plans the end of a call by the server's behaviour."""
        name = command.server.server_id
        if command.query.query_id in self.tried:
            self.extra_at.append(self.clock.now_seconds)
        else:
            self.tried.add(command.query.query_id)
            self.first_by_server[name] += 1
        self.started_by_call[command.call_id] = name
        self.planned_share = command.query.hedge_budget
        server = self.server_by_name[name]
        draw = self.random.random()
        noise = 1.0 + server.spread * self.random.uniform(-0.2, 0.3)
        latency = LATENCY_SECONDS * server.factor * noise
        if server.is_dark:
            latency = command.deadline - self.clock.now_seconds
            event = events.CallFailed(command.call_id, data.Refusal.TIMEOUT, True)
        elif draw < server.refuses:
            latency = 0.004
            load = exchange.Load(0, 0, 4)
            event = events.CallFailed(command.call_id, data.Refusal.SHED, False, load=load)
        elif draw < server.refuses + server.fails:
            event = events.CallFailed(command.call_id, data.Refusal.BACKEND_ERROR, True)
        else:
            event = events.CallReplied(
                command.call_id, data.Snapshot(1), data.KeyRange(0, 0), (), (b"r" * 16,), False
            )
        due = self.clock.now_seconds + latency
        heapq.heappush(self.pending, (due, next(self.sequence), event))

    def advance(self, until):
        """Lets calls end and timers ring until an instant."""
        while True:
            due = self.pending[0][0] if self.pending else None
            wakes = (self.entry.next_wake(), self.owner.next_wake())
            instants = [instant for instant in (*wakes, due) if instant is not None]
            if not instants or min(instants) > until:
                break
            self.clock.now_seconds = max(self.clock.now_seconds, min(instants))
            if due is not None and due <= self.clock.now_seconds:
                _, _, event = heapq.heappop(self.pending)
                is_cancelled = getattr(event, "reason", None) is data.Refusal.CANCELLED
                if is_cancelled or self.started_by_call.pop(event.call_id, None):
                    self.take(self.owner, event)
                continue
            for part in (self.entry, self.owner):
                wake = part.next_wake()
                if wake is not None and wake <= self.clock.now_seconds:
                    self.take(part, events.TimeReached())
        self.clock.now_seconds = until

    def reset_counts(self):
        """Forgets what was counted so far."""
        self.first_by_server = dict.fromkeys(self.server_by_name, 0)
        self.ended.clear()


@given('a shard of two servers, of which "b" refuses {share:d} of 100 calls without load')
def make_refusing(context, share):
    """Makes one server refuse."""
    context.load = LoadBench({"a": Server(), "b": Server(refuses=share / 100)})


@given("a shard of two servers, which both refuse {share:d} of 100 calls without load")
def make_both_refusing(context, share):
    """Makes both servers refuse."""
    context.load = LoadBench({name: Server(refuses=share / 100) for name in "ab"})


@given('a shard of two servers, of which "b" fails {share:d} of 100 calls')
def make_failing(context, share):
    """Makes one server fail."""
    context.load = LoadBench({"a": Server(), "b": Server(fails=share / 100)})


@given('a shard of two servers, of which "b" takes {factor:d} times as long')
def make_slow(context, factor):
    """Makes one server slow."""
    context.load = LoadBench({"a": Server(), "b": Server(factor=factor)})


@given('a shard of two servers, of which "b" answers nothing')
def make_dark(context):
    """Makes one server silent."""
    context.load = LoadBench({"a": Server(), "b": Server(is_dark=True)})


@given('a shard of two servers, of which only "b" is in service')
def make_one(context):
    """Makes two steady servers and publishes one of them."""
    context.load = LoadBench({"a": Server(spread=0.0), "b": Server(spread=0.0)})
    context.load.out_of_service = {"a"}


@when(
    'server "b" takes {parts:d} of 100 parts of its time and {count:d} sub-requests come,'
    " one each {gap:d} ms"
)
def quicken(context, parts, count, gap):
    """Makes a server a little faster and sends more load."""
    context.load.server_by_name["b"] = Server(factor=parts / 100, spread=0.0)
    context.load.run(count, gap / 1000)


@when("both servers are in service and {count:d} sub-requests come, one each {gap:d} ms")
def bring_back(context, count, gap):
    """Publishes both servers and sends more load."""
    context.load.out_of_service = set()
    context.load.publish(leaving=False)
    context.load.reset_counts()
    context.load.run(count, gap / 1000)


@then("at most {most:d} of 100 first calls had an extra one")
def check_extra(context, most):
    """Checks the share of extra calls."""
    load = context.load
    assert 0 < len(load.extra_at) * 100 <= most * len(load.first_at), len(load.extra_at)


@given("a budget of {share:d} of 100 calls and {more:d} more in 10 s, which is for retries")
def set_retry_budget(context, share, more):
    """Sets a budget of which hedges use only the share."""
    context.load.ratio = share / 100
    context.load.options = owner_config.OwnerOptions(budget.BudgetOptions(float(more)))


@given("a budget of {share:d} of 100 calls and {more:d} more in 10 s")
def set_budget(context, share, more):
    """Sets the budget."""
    context.load.ratio = share / 100
    context.load.options = owner_config.OwnerOptions(
        budget.BudgetOptions(float(more), refusals_cost=True, hedges_use_allowance=True)
    )
    context.allowance = more


@when("{count:d} sub-requests come, one each {gap:d} ms")
def run_load(context, count, gap):
    """Sends the load."""
    context.load.run(count, gap / 1000)


@when('server "b" behaves again and {count:d} sub-requests come, one each {gap:d} ms')
def recover(context, count, gap):
    """Mends the server and sends more load."""
    context.load.server_by_name["b"] = Server()
    context.load.reset_counts()
    context.load.run(count, gap / 1000)


@then('server "b" gets at most {most:d} of 100 first calls')
def check_most(context, most):
    """Checks the share of first calls."""
    found = context.load.first_by_server
    assert found["b"] * 100 <= most * sum(found.values()), found


@then('server "{name}" gets at least {least:d} of 100 first calls')
def check_least(context, name, least):
    """Checks the share of first calls."""
    found = context.load.first_by_server
    assert found[name] * 100 >= least * sum(found.values()), found


@then("at most {most:d} of 100 sub-requests end without results")
def check_lost(context, most):
    """Checks the share of sub-requests without results."""
    lost = sum(not served for served in context.load.ended.values())
    assert lost * 100 <= most * len(context.load.ended), (lost, len(context.load.ended))


@then("no 10 s have more extra calls than the budget")
def check_budget(context):
    """Checks each window that begins with an extra call."""
    load = context.load
    for start in load.extra_at:
        end = start + WINDOW_SECONDS
        extra = sum(start <= instant < end for instant in load.extra_at)
        first = sum(start <= instant < end for instant in load.first_at)
        assert extra <= load.ratio * first + context.allowance, (start, extra, first)


@then("second calls are planned for {least:d} to {most:d} of 100 first calls in the end")
def check_planned(context, least, most):
    """Checks the share that the newest query was sent with."""
    planned = round(100 * context.load.planned_share)
    assert least <= planned <= most, planned


@given("a shard of two servers with a grace of {grace:d} ms for those that leave")
def make_leaving(context, grace):
    """Makes usual servers."""
    context.load = LoadBench({"a": Server(), "b": Server()})
    context.load.options = owner_config.OwnerOptions(leaving_grace_seconds=grace / 1000)


@given("the table takes both servers out of service")
@when("the table takes both servers out of service")
def take_out(context):
    """Publishes the servers as leaving."""
    if context.load.owner is None:
        context.load.start()
    context.load.publish(leaving=True)


@then("a sub-request {ms:d} ms later is called")
def check_called_later(context, ms):
    """Sends a sub-request later than the one before."""
    assert calls_after(context.load, ms) == 1


@then("a sub-request {ms:d} ms later is not called")
def check_not_called_later(context, ms):
    """Sends a sub-request later than the one before."""
    assert calls_after(context.load, ms) == 0


def calls_after(load, ms):
    """Returns the first calls made by a sub-request after a pause."""
    load.reset_counts()
    load.advance(load.clock.now_seconds + ms / 1000)
    load.send()
    return sum(load.first_by_server.values())
