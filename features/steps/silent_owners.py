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
    fanout,
    kernel,
    messages,
    owner_config,
)

CELL = tuple(data.InstanceId(f"i-{number}") for number in (1, 2, 3))
POOL = data.PoolId("set/1")
ROUTE = data.RouteId("r")
VERSION = data.Snapshot(1)
SHARDS = 30
STEP_SECONDS = 0.002
POLICIES = kernel.PolicyNames(ownership="cell", admission="all")
SETTINGS = owner_config.OwnerOptions(
    budget.BudgetOptions(52.0, refusals_cost=True, hedges_use_allowance=True)
)


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
        made = kernel.make_kernel(CELL[0], data.ZoneId("z"), self.clock, POLICIES, SETTINGS)
        self.entry = made.entry
        self.batches = []
        self.cancelled = []
        self.checks_by_owner = collections.Counter()
        self.alive = set()
        self.queries = 0
        self.take(events.ViewChanged(make_tables(), CELL, CELL, 1))
        # The instance has run for a while, so that its budgets are not empty.
        self.clock.advance(60.0)

    def ask(self):
        """Starts a query."""
        self.queries += 1
        question = exchange.Question(
            f"r-{self.queries}", exchange.HttpRequest("GET", "/", (), b""), 1000, is_clamped=True
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
        elif isinstance(message, messages.CallsAllowed):
            self.allowed = message
        else:
            self.checks_by_owner[owner] += 1
            if owner in self.alive:
                self.take(events.BatchTaken(owner, message.query_id))

    def answer(self, owner, batch):
        """Lets an owner answer its part of a query."""
        parts = tuple(
            fanout.Part(service, batch.attempt, VERSION, keys_of(service), (), f"p-{service}")
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


@when('"{owner}" asks for another call for each of its shards')
def want_calls(context, owner):
    """Lets an owner ask for second calls."""
    services = [
        service for name, batch in context.sent if name == owner for service in batch.services
    ]
    wants = tuple(
        messages.CallRequest(service, 1, 1, 0, data.RetryReason.HEDGE) for service in services
    )
    context.wanted = events.CallsWanted(owner, messages.CallsWanted(data.QueryId("q-1"), wants))
    context.bench.take(context.wanted)


@when('"{owner}" asks once more in the same words')
def want_calls_again(context, owner):
    """Lets the same question come again."""
    assert context.wanted.sender == owner
    context.bench.take(context.wanted)


@then("it may make {count:d} call for each")
@then("it may make {count:d} calls for each")
def check_allowed(context, count):
    """Checks what the entry has answered."""
    allowances = context.bench.allowed.allowances
    assert [one.service for one in allowances] == [
        want.service for want in context.wanted.message.requests
    ]
    assert {one.allowed for one in allowances} == {count}, allowances


@when('the stream to "{owner}" ends')
def end_stream(context, owner):
    """Lets a stream end."""
    context.bench.take(events.PeerLost(data.InstanceId(owner)))


@when('nothing can be sent to "{owner}"')
def refuse_batches(context, owner):
    """Hands the batches of an owner back."""
    for name, batch in list(context.bench.batches):
        if name == owner:
            context.bench.take(
                events.BatchUnsent(data.InstanceId(owner), batch.query.query_id, batch.attempt)
            )


@then("no shard has been sent more than twice")
def check_twice(context):
    """Counts how often each shard was sent."""
    counts = sent_counts(context)
    assert max(counts.values()) == 2, counts


@when("the streams to those instances end")
def end_other_streams(context):
    """Ends the streams to the owners that were asked again."""
    for owner in {name for name, _ in context.bench.batches[len(context.sent) :]}:
        context.bench.take(events.PeerLost(owner))


@then('all shards of "{owner}" have been sent three times')
def check_thrice(context, owner):
    """Counts how often the shards of an owner were sent."""
    counts = sent_counts(context)
    shards = [
        service for name, batch in context.sent if name == owner for service in batch.services
    ]
    assert {counts[service] for service in shards} == {3}, counts


def sent_counts(context):
    """Returns how often each shard was sent."""
    return collections.Counter(
        service for _, batch in context.bench.batches for service in batch.services
    )


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


@given("an owner whose servers do not answer and a sub-request of another instance")
def make_owner(context):
    """Makes an owner of one shard with two servers and gives it a sub-request."""
    context.clock = clock.ManualClock()
    names = kernel.PolicyNames(ownership="cell", hedge="recent-quantile")
    made = kernel.make_kernel(CELL[0], data.ZoneId("z"), context.clock, names)
    context.owner = made.owner
    service = data.ServiceId("s00")
    servers = tuple(
        data.Server(data.ServerId(name), service, f"{name}:1", "z", 2, 60, False) for name in "ab"
    )
    pool = data.Pool(POOL, 1, {service: servers}, VERSION, "greatest-records")
    context.owner.handle(events.ViewChanged(data.Tables({}, {POOL: pool}), CELL, CELL, 1))
    spec = fanout.QuerySpec(
        data.QueryId("q-1"),
        ROUTE,
        POOL,
        data.Rank.URGENT,
        exchange.HttpRequest("GET", "/", (), b""),
        5,
        1000,
        0.2,
        True,
        attempts=2,
    )
    context.calls = []
    context.questions = []
    batch = messages.SubBatch(CELL[1], spec, VERSION, 1, (service,))
    note_commands(context, context.owner.handle(events.BatchArrived(batch)))


def note_commands(context, commands):
    """Notes the calls and the questions among some commands."""
    context.calls += [one for one in commands if isinstance(one, events.StartCall)]
    context.questions += [
        one.message
        for one in commands
        if isinstance(one, events.SendMessage) and isinstance(one.message, messages.CallsWanted)
    ]


@when("{ms:d} ms pass at the owner")
def let_pass_at_owner(context, ms):
    """Moves the owner's clock in steps."""
    ends = context.clock.now_seconds + ms / 1000
    while context.clock.now_seconds < ends:
        context.clock.advance(STEP_SECONDS)
        wake = context.owner.next_wake()
        if wake is not None and wake <= context.clock.now_seconds:
            note_commands(context, context.owner.handle(events.TimeReached()))


@then("it has asked the entry for one more call once")
def check_questions(context):
    """Checks what the owner has asked for."""
    assert len(context.questions) == 1, context.questions
    (want,) = context.questions[0].requests
    assert (want.allowed, want.reason) == (1, data.RetryReason.HEDGE), want


@when("the entry allows {count:d} call")
@when("the entry allows {count:d} calls")
def allow_calls(context, count):
    """Lets the entry's answer to the newest question arrive."""
    question = context.questions[-1]
    allowances = tuple(
        messages.Allowance(want.service, want.attempt, count) for want in question.requests
    )
    answer = messages.CallsAllowed(question.query_id, allowances)
    note_commands(context, context.owner.handle(events.CallsAllowed(answer)))


@then("it has called {count:d} server")
@then("it has called {count:d} servers")
def check_calls(context, count):
    """Checks the number of calls."""
    assert len(context.calls) == count, context.calls
