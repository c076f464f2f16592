"""Steps that drive an entry's kernel whose owners fall silent."""

import collections
import datetime

from behave import given, then, when

from monsoonhoist.core import (
    budget,
    clock,
    data,
    events,
    exchange,
    kernel,
    messages,
    options,
    work,
)

CELL = tuple(data.InstanceId(f"i-{number}") for number in (1, 2, 3))
POOL = data.PoolId("set/1")
ROUTE = data.RouteId("r")
VERSION = data.Snapshot(1)
SHARDS = 30
STEP_SECONDS = 0.002
POLICIES = kernel.PolicyNames(ownership="cell", admission="all")


class EntryBench:
    """An entry's kernel and what it has sent.

    Attributes:
        batches: Sub-requests sent, each with its owner.
        cancelled: Owners told to drop a query.
        checks_by_owner: How often each owner was asked whether it has the work.
        alive: Owners that answer that question.
    """

    def __init__(self):
        self.clock = clock.ManualClock()
        made = kernel.make_kernel(CELL[0], data.ZoneId("z"), self.clock, POLICIES)
        self.entry = made.entry
        self.batches = []
        self.cancelled = []
        self.checks_by_owner = collections.Counter()
        self.alive = set()
        self.queries = 0
        self.take(events.ViewChanged(make_tables(), CELL, CELL, 1))

    def ask(self):
        """Starts a query."""
        self.queries += 1
        question = exchange.Question(
            f"r-{self.queries}", exchange.Content("GET", "/", (), b""), 1000, is_clamped=True
        )
        self.take(events.QueryArrived(data.QueryId(f"q-{self.queries}"), ROUTE, question))

    def take(self, event):
        """Hands an event to the kernel and notes its commands."""
        for command in self.entry.handle(event):
            if isinstance(command, events.SendMessage):
                self.note(command.instance, command.message)

    def note(self, owner, message):
        """Notes a message to an owner."""
        if isinstance(message, messages.SubBatch):
            self.batches.append((owner, message))
        elif isinstance(message, messages.Cancel):
            self.cancelled.append(owner)
        else:
            self.checks_by_owner[owner] += 1
            if owner in self.alive:
                self.take(events.BatchTaken(owner, message.query_id))

    def answer(self, owner, batch):
        """Lets an owner answer its part of a query."""
        parts = tuple(
            work.Part(service, batch.attempt, VERSION, keys_of(service), (), f"p-{service}")
            for service in batch.services
        )
        reply = messages.SubReply(batch.query.query_id, parts, (), {VERSION: ()}, 0, len(parts))
        self.take(events.ReplyArrived(owner, reply))

    def advance(self, seconds):
        """Moves the clock in steps and lets the kernel act when it wants to."""
        ends = self.clock.now_seconds + seconds
        while self.clock.now_seconds < ends:
            self.clock.advance(STEP_SECONDS)
            wake = self.entry.next_wake()
            if wake is not None and wake <= self.clock.now_seconds:
                self.take(events.TimeReached())


def keys_of(service):
    """Returns the keys of a shard."""
    number = int(service.removeprefix("s"))
    return data.KeyRange(number, number + 1)


def make_tables():
    """Returns tables with one route to one pool."""
    servers_by_service = {
        data.ServiceId(f"s{number:02d}"): (
            data.Server(f"s{number}-a", f"s{number:02d}", "127.0.0.1:1", "z", 2, 60, False),
        )
        for number in range(SHARDS)
    }
    pool = data.Pool(POOL, SHARDS, servers_by_service, VERSION, "greatest-records")
    route = data.Route(
        ROUTE,
        data.Rank.URGENT,
        POOL,
        True,
        datetime.timedelta(seconds=1),
        1.0,
        0.2,
        goal=datetime.timedelta(milliseconds=100),
        attempts=2,
    )
    return data.Tables({ROUTE: route}, {POOL: pool})


@given("an entry in a cell of three instances and a query to 30 shards")
def make_entry(context):
    """Makes the entry and starts the query."""
    context.bench = EntryBench()
    context.bench.ask()
    context.sent = list(context.bench.batches)
    assert {owner for owner, _ in context.sent} == set(CELL)


@given('all owners but "{silent}" answer at once')
@when('all owners but "{silent}" answer at once')
def answer_others(context, silent):
    """Lets the owners answer."""
    for owner, batch in context.sent:
        if owner != silent:
            context.bench.answer(owner, batch)


@when('all owners but "{silent}" answer at once, and "{taker}" says that it has the work')
def answer_others_and_take(context, silent, taker):
    """Lets the owners answer, and one only say that it has the work."""
    answer_others(context, silent)
    say_taken(context, taker)


@when('"{owner}" says that it has the work')
def say_taken(context, owner):
    """Lets an owner say so."""
    context.bench.take(events.BatchTaken(data.InstanceId(owner), data.QueryId("q-1")))


@when('"{owner}" says that it has called another server for each of its shards')
def say_called(context, owner):
    """Lets an owner tell of its second calls."""
    for name, batch in context.sent:
        for service in batch.services if name == owner else ():
            context.bench.take(events.CallMade(data.QueryId("q-1"), service))


@given("{ms:d} ms pass")
@when("{ms:d} ms pass")
def let_pass(context, ms):
    """Moves the clock."""
    context.bench.advance(ms / 1000)


@when("{ms:d} ms pass in which the entry does nothing")
def let_pass_late(context, ms):
    """Moves the clock, and lets the kernel act only then."""
    context.bench.clock.advance(ms / 1000)
    context.bench.take(events.TimeReached())


@when('{ms:d} ms pass, in which "{owner}" says when asked that it has the work')
def let_pass_alive(context, ms, owner):
    """Moves the clock while an owner answers questions."""
    context.bench.alive.add(data.InstanceId(owner))
    let_pass(context, ms)


@when("another query comes")
def ask_again(context):
    """Starts another query."""
    before = len(context.bench.batches)
    context.bench.ask()
    context.sent = context.bench.batches[before:]


@then('all shards of "{owner}" have been sent to the other instances')
def check_replaced(context, owner):
    """Compares the shards of the first batches with those sent again."""
    first = [batch for name, batch in context.sent if name == owner]
    again = [
        (name, batch)
        for name, batch in context.bench.batches[len(context.sent) :]
        if batch.query.query_id == "q-1"
    ]
    assert owner not in {name for name, _ in again}, again
    sent = sorted(service for _, batch in again for service in batch.services)
    assert sent == sorted(service for batch in first for service in batch.services), sent


@then('"{owner}" has been told to drop the query')
def check_cancelled(context, owner):
    """Checks the cancellation."""
    assert owner in context.bench.cancelled


@then("no shard has been sent twice")
def check_once(context):
    """Checks that nothing was sent again."""
    assert context.bench.batches == context.sent


@then('"{owner}" has been asked at most {most:d} times')
def check_checks(context, owner, most):
    """Checks how often the owner was asked."""
    assert 1 <= context.bench.checks_by_owner[owner] <= most, context.bench.checks_by_owner


@then('nothing of it is sent to "{owner}"')
def check_avoided(context, owner):
    """Checks the owners of the newest query."""
    assert context.sent
    assert owner not in {name for name, _ in context.sent}


@then("its shards are divided among three instances")
def check_divided(context):
    """Checks the owners of the newest query."""
    assert {name for name, _ in context.sent} == set(CELL)


LEASE_MS = 50


@given("an owner whose servers do not answer and a sub-request of another instance")
def make_owner(context):
    """Makes an owner of one shard with two servers and gives it a sub-request."""
    context.clock = clock.ManualClock()
    names = kernel.PolicyNames(ownership="cell", hedge="recent-quantile")
    extra_calls = budget.BudgetOptions(hedge_reserve_tokens=0.0)
    made = kernel.make_kernel(
        CELL[0], data.ZoneId("z"), context.clock, names, options.OwnerOptions(extra_calls)
    )
    context.owner = made.owner
    service = data.ServiceId("s00")
    servers = tuple(
        data.Server(data.ServerId(name), service, f"{name}:1", "z", 2, 60, False) for name in "ab"
    )
    pool = data.Pool(POOL, 1, {service: servers}, VERSION, "greatest-records")
    context.owner.handle(events.ViewChanged(data.Tables({}, {POOL: pool}), CELL, CELL, 1))
    spec = work.QuerySpec(
        data.QueryId("q-1"),
        ROUTE,
        POOL,
        data.Rank.URGENT,
        exchange.Content("GET", "/", (), b""),
        5,
        1000,
        0.2,
        True,
        attempts=2,
        lease_ms=LEASE_MS,
    )
    context.calls = []
    batch = messages.SubBatch(CELL[1], spec, VERSION, 1, (service,))
    note_calls(context, context.owner.handle(events.BatchArrived(batch)))


def note_calls(context, commands):
    """Notes the calls among some commands."""
    context.calls += [one for one in commands if isinstance(one, events.StartCall)]


@when("{ms:d} ms pass at the owner")
def let_pass_at_owner(context, ms):
    """Moves the owner's clock in steps."""
    ends = context.clock.now_seconds + ms / 1000
    while context.clock.now_seconds < ends:
        context.clock.advance(STEP_SECONDS)
        wake = context.owner.next_wake()
        if wake is not None and wake <= context.clock.now_seconds:
            note_calls(context, context.owner.handle(events.TimeReached()))


@when("the entry asks whether it is at work")
def renew_lease(context):
    """Lets the entry's question arrive."""
    note_calls(context, context.owner.handle(events.LeaseRenewed(data.QueryId("q-1"), LEASE_MS)))


@then("it has called {count:d} server")
@then("it has called {count:d} servers")
def check_calls(context, count):
    """Checks the number of calls."""
    assert len(context.calls) == count, context.calls
