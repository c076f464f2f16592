"""Steps that test the kernel of an entry whose owners stop responding."""

import collections
import datetime

from behave import given, then, when

from monsoonhoist.core import clock, data, exchange
from monsoonhoist.kernels import kernel
from monsoonhoist.overload import budget
from monsoonhoist.protocol import events, fanout, messages
from monsoonhoist.shards import kernel_config

CELL = tuple(data.InstanceId(f"i-{number}") for number in (1, 2, 3))
POOL = data.PoolId("set/1")
ROUTE = data.RouteId("r")
SNAPSHOT = data.Snapshot(1)
SHARD_COUNT = 30
STEP_SECONDS = 0.002
POLICIES = kernel.PolicyNames(ownership="cell", admission="all")
OPTIONS = kernel_config.KernelOptions(
    budget.BudgetOptions(52.0, refusals_cost=True, hedges_use_allowance=True)
)


class EntryHarness:
    """The kernel of an entry and the messages that it has sent.

    Attributes:
        clock: The kernel's clock.
        entry: The kernel.
        sent_batches: All batches of sub-requests sent, each with its owner.
        cancelled_owners: Owners at which a query was cancelled.
        checks_by_owner: Number of liveness checks sent to each owner.
        responsive_owners: Owners that reply to liveness checks.
        last_allowed: Latest response to a request for calls.
        query_count: Number of queries started.
    """

    def __init__(self, attempts=2):
        self.clock = clock.ManualClock()
        kernels = kernel.make_kernel(CELL[0], data.ZoneId("z"), self.clock, POLICIES, OPTIONS)
        self.entry = kernels.entry
        self.sent_batches = []
        self.cancelled_owners = []
        self.checks_by_owner = collections.Counter()
        self.responsive_owners = set()
        self.query_count = 0
        self.handle(events.ViewChanged(make_tables(attempts), CELL, CELL, 1))
        # Fills the budgets, which are nearly empty after the start of an instance.
        self.clock.advance(60.0)

    def start_query(self):
        """Starts a query."""
        self.query_count += 1
        request = exchange.CallerRequest(
            f"r-{self.query_count}",
            exchange.HttpRequest("GET", "/", (), b""),
            1000,
            is_clamped=True,
        )
        self.handle(events.QueryArrived(data.QueryId(f"q-{self.query_count}"), ROUTE, request))

    def handle(self, event):
        """Passes an event to the kernel and processes the messages that it sends."""
        for command in self.entry.handle(event):
            if isinstance(command, events.SendMessage):
                self._process_message(command.instance, command.message)

    def _process_message(self, owner, message):
        """Records a message to an owner; a responsive owner replies to a liveness check."""
        if isinstance(message, messages.SubBatch):
            self.sent_batches.append((owner, message))
        elif isinstance(message, messages.Cancel):
            self.cancelled_owners.append(owner)
        elif isinstance(message, messages.CallsAllowed):
            self.last_allowed = message
        else:
            self.checks_by_owner[owner] += 1
            if owner in self.responsive_owners:
                self.handle(events.BatchTaken(owner, message.query_id))

    def reply(self, owner, batch):
        """Passes an owner's reply to a batch to the kernel."""
        parts = tuple(
            fanout.Part(service, batch.attempt, SNAPSHOT, keys_of(service), (), f"p-{service}")
            for service in batch.services
        )
        message = messages.SubReply(batch.query.query_id, parts, (), {SNAPSHOT: ()}, 0, len(parts))
        self.handle(events.ReplyArrived(owner, message))

    def advance(self, seconds):
        """Advances the clock in steps and passes ``TimeReached`` to the kernel when it is due."""
        end = self.clock.now_seconds + seconds
        while self.clock.now_seconds < end:
            self.clock.advance(STEP_SECONDS)
            wake = self.entry.next_wake()
            if wake is not None and wake <= self.clock.now_seconds:
                self.handle(events.TimeReached())


def keys_of(service):
    """Returns the keys of a shard."""
    number = int(service.removeprefix("s"))
    return data.KeyRange(number, number + 1)


def make_tables(attempts):
    """Returns tables with one route to one pool; each shard has one server."""
    servers_by_service = {
        data.ServiceId(f"s{number:02d}"): (
            data.Server(f"s{number}-a", f"s{number:02d}", "127.0.0.1:1", "z", 2, 60, False),
        )
        for number in range(SHARD_COUNT)
    }
    pool = data.Pool(POOL, SHARD_COUNT, servers_by_service, SNAPSHOT, "greatest-records")
    route = data.Route(
        ROUTE,
        data.Rank.URGENT,
        POOL,
        True,
        datetime.timedelta(seconds=1),
        1.0,
        0.2,
        goal=datetime.timedelta(milliseconds=100),
        attempts=attempts,
    )
    return data.Tables({ROUTE: route}, {POOL: pool})


@given("an entry in a cell of three instances and a query to 30 shards")
def make_entry(context):
    """Makes the kernel of the entry and starts the query."""
    context.harness = EntryHarness()
    context.harness.start_query()
    context.batches = list(context.harness.sent_batches)
    assert {owner for owner, _ in context.batches} == set(CELL)


@given("a route that allows {attempts:d} calls for each shard")
def make_entry_with_attempts(context, attempts):
    """Makes another entry, whose route allows more calls, and starts the query there."""
    context.harness = EntryHarness(attempts)
    context.harness.start_query()
    context.batches = list(context.harness.sent_batches)


@given('all owners but "{silent}" reply at once')
@when('all owners but "{silent}" reply at once')
def reply_from_others(context, silent):
    """Sends the replies of all owners but one."""
    for owner, batch in context.batches:
        if owner != silent:
            context.harness.reply(owner, batch)


@when('all owners but "{silent}" reply at once, and "{owner}" acknowledges its sub-requests')
def reply_and_acknowledge(context, silent, owner):
    """Sends the replies of all owners but one, and an acknowledgement of ``owner``."""
    reply_from_others(context, silent)
    acknowledge(context, owner)


@when('"{owner}" acknowledges its sub-requests')
def acknowledge(context, owner):
    """Sends an owner's acknowledgement of the first query."""
    context.harness.handle(events.BatchTaken(data.InstanceId(owner), data.QueryId("q-1")))


@when('"{owner}" requests another call for each of its shards')
def request_calls(context, owner):
    """Sends an owner's request for second calls."""
    services = [
        service for name, batch in context.batches if name == owner for service in batch.services
    ]
    requests = tuple(
        messages.CallRequest(service, 1, 1, 0, data.RetryReason.HEDGE) for service in services
    )
    context.calls_wanted = events.CallsWanted(
        owner, messages.CallsWanted(data.QueryId("q-1"), requests)
    )
    context.harness.handle(context.calls_wanted)


@when('"{owner}" sends the same request again')
def repeat_request(context, owner):
    """Sends the last request for calls again."""
    assert context.calls_wanted.sender == owner
    context.harness.handle(context.calls_wanted)


@then("it may make {count:d} call for each")
@then("it may make {count:d} calls for each")
def check_allowed(context, count):
    """Checks the entry's last response to a request for calls."""
    allowances = context.harness.last_allowed.allowances
    assert [allowance.service for allowance in allowances] == [
        request.service for request in context.calls_wanted.message.requests
    ]
    assert {allowance.allowed for allowance in allowances} == {count}, allowances


@when('the stream to "{owner}" ends')
def end_stream(context, owner):
    """Reports the end of a stream to the entry."""
    context.harness.handle(events.PeerLost(data.InstanceId(owner)))


@when('nothing can be sent to "{owner}"')
def report_unsent(context, owner):
    """Reports the batches for an owner as unsent to the entry."""
    for name, batch in list(context.harness.sent_batches):
        if name == owner:
            context.harness.handle(
                events.BatchUnsent(data.InstanceId(owner), batch.query.query_id, batch.attempt)
            )


@then("no sub-request has been sent more than twice")
def check_sent_at_most_twice(context):
    """Checks that two is the largest number of sub-requests sent for a shard."""
    counts = count_sent(context)
    assert max(counts.values()) == 2, counts


@when("the streams to those instances end")
def end_stand_by_streams(context):
    """Reports the end of the streams to the stand-bys that received sub-requests."""
    for owner in {name for name, _ in context.harness.sent_batches[len(context.batches) :]}:
        context.harness.handle(events.PeerLost(owner))


@then('all sub-requests of "{owner}" have been sent three times')
def check_sent_three_times(context, owner):
    """Checks how many sub-requests were sent for each shard of an owner."""
    counts = count_sent(context)
    shards = [
        service for name, batch in context.batches if name == owner for service in batch.services
    ]
    assert {counts[service] for service in shards} == {3}, counts


def count_sent(context):
    """Returns the number of sub-requests sent for each shard."""
    return collections.Counter(
        service for _, batch in context.harness.sent_batches for service in batch.services
    )


@given("{ms:d} ms pass")
@when("{ms:d} ms pass")
def advance_clock(context, ms):
    """Advances the clock in steps."""
    context.harness.advance(ms / 1000)


@when("{ms:d} ms pass in which the entry handles no event")
def advance_clock_at_once(context, ms):
    """Advances the clock at once, so that ``TimeReached`` comes late."""
    context.harness.clock.advance(ms / 1000)
    context.harness.handle(events.TimeReached())


@when('{ms:d} ms pass, in which "{owner}" replies to liveness checks')
def advance_clock_with_checks(context, ms, owner):
    """Advances the clock while an owner replies to liveness checks."""
    context.harness.responsive_owners.add(data.InstanceId(owner))
    advance_clock(context, ms)


@when("another query arrives")
def start_another(context):
    """Starts another query."""
    batch_count = len(context.harness.sent_batches)
    context.harness.start_query()
    context.batches = context.harness.sent_batches[batch_count:]


@then('all sub-requests of "{owner}" have been sent to the other instances')
def check_replaced(context, owner):
    """Compares the shards of the first sub-requests to an owner with those sent to others."""
    first_batches = [batch for name, batch in context.batches if name == owner]
    later_batches = [
        (name, batch)
        for name, batch in context.harness.sent_batches[len(context.batches) :]
        if batch.query.query_id == "q-1"
    ]
    assert owner not in {name for name, _ in later_batches}, later_batches
    sent = sorted(service for _, batch in later_batches for service in batch.services)
    assert sent == sorted(service for batch in first_batches for service in batch.services), sent


@then('the query has been cancelled at "{owner}"')
def check_cancelled(context, owner):
    """Checks that the owner received a cancellation."""
    assert owner in context.harness.cancelled_owners, context.harness.cancelled_owners


@then("no sub-request has been sent twice")
def check_not_resent(context):
    """Checks that no further sub-request was sent."""
    assert context.harness.sent_batches == context.batches, context.harness.sent_batches


@then('"{owner}" has received at most {most:d} liveness checks')
def check_liveness_checks(context, owner, most):
    """Checks that the entry has sent an owner at least one liveness check, but not too many."""
    assert 1 <= context.harness.checks_by_owner[owner] <= most, context.harness.checks_by_owner


@then('nothing of it is sent to "{owner}"')
def check_avoided(context, owner):
    """Checks that the latest query has shards, but none at an owner."""
    assert context.batches
    assert owner not in {name for name, _ in context.batches}, context.batches


@then("its sub-requests are divided among three instances")
def check_divided(context):
    """Checks that each instance of the cell owns shards of the latest query."""
    assert {name for name, _ in context.batches} == set(CELL), context.batches


@given("an owner whose servers do not answer and a sub-request of another instance")
def make_owner(context):
    """Makes the kernel of an owner of one shard with two servers and sends it a sub-request."""
    context.clock = clock.ManualClock()
    policies = kernel.PolicyNames(ownership="cell", hedge="recent-quantile")
    kernels = kernel.make_kernel(CELL[0], data.ZoneId("z"), context.clock, policies)
    context.owner = kernels.owner
    service = data.ServiceId("s00")
    servers = tuple(
        data.Server(data.ServerId(name), service, f"{name}:1", "z", 2, 60, False) for name in "ab"
    )
    pool = data.Pool(POOL, 1, {service: servers}, SNAPSHOT, "greatest-records")
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
        calls_per_shard_max=2,
    )
    context.calls = []
    context.call_requests = []
    batch = messages.SubBatch(CELL[1], spec, SNAPSHOT, 1, (service,))
    record_commands(context, context.owner.handle(events.BatchArrived(batch)))


def record_commands(context, commands):
    """Records the calls and the requests for calls among commands."""
    context.calls += [command for command in commands if isinstance(command, events.StartCall)]
    context.call_requests += [
        command.message
        for command in commands
        if isinstance(command, events.SendMessage)
        and isinstance(command.message, messages.CallsWanted)
    ]


@when("{ms:d} ms pass at the owner")
def advance_owner_clock(context, ms):
    """Advances the owner's clock in steps."""
    end = context.clock.now_seconds + ms / 1000
    while context.clock.now_seconds < end:
        context.clock.advance(STEP_SECONDS)
        wake = context.owner.next_wake()
        if wake is not None and wake <= context.clock.now_seconds:
            record_commands(context, context.owner.handle(events.TimeReached()))


@then("it has requested one more call from the entry once")
def check_call_requests(context):
    """Checks that the owner sent one request, for one hedge."""
    assert len(context.call_requests) == 1, context.call_requests
    (request,) = context.call_requests[0].requests
    assert (request.allowed, request.reason) == (1, data.RetryReason.HEDGE), request


@when("its call fails")
def fail_call(context):
    """Ends the owner's latest call without a reply."""
    lost = events.CallFailed(context.calls[-1].call_id, data.Refusal.CONNECTION_LOST, True)
    record_commands(context, context.owner.handle(lost))


@then("its latest request for a call is a retry of a lost call")
def check_retry_request(context):
    """Checks the reason of the owner's latest request for calls."""
    (request,) = context.call_requests[-1].requests
    assert request.reason is data.RetryReason.LOST, request


@when("the entry allows {count:d} call")
@when("the entry allows {count:d} calls")
def allow_calls(context, count):
    """Sends the entry's response to the owner's latest request for calls."""
    calls_wanted = context.call_requests[-1]
    allowances = tuple(
        messages.Allowance(request.service, request.attempt, count)
        for request in calls_wanted.requests
    )
    response = messages.CallsAllowed(calls_wanted.query_id, allowances)
    record_commands(context, context.owner.handle(events.CallsAllowed(response)))


@then("it has called {count:d} server")
@then("it has called {count:d} servers")
def check_calls(context, count):
    """Checks the number of calls that the owner started."""
    assert len(context.calls) == count, context.calls
