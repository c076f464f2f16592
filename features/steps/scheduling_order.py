"""Steps that test the order of an owner's queue, and which work the owner does not start."""

import collections
import heapq

import msgspec
from behave import given, then, when

from bench import workloads
from monsoonhoist.core import clock, data, scheduling
from monsoonhoist.kernels import kernel
from monsoonhoist.protocol import events, messages
from monsoonhoist.shards import kernel_config

SERVICE = data.ServiceId("shard-0000")
SLOTS = 2
SECONDS_BY_KIND = {"urgent": 0.008, "normal": 0.2}
WARM_UP_CALLS = 60


class GoalHarness:
    """The kernel of an owner of one shard with two servers, whose calls take a time by kind.

    Args:
        scheduling_options: Mechanisms that are enabled.

    Attributes:
        clock: The kernel's clock.
        blocking: Kind and id of the calls that a pause holds.
        is_paused: Whether the servers are paused; their calls then end after the pause.
        ends: Kind, goal and deadline of each call, and its end, in the order of their start.
        sent: Number of sub-requests of the test.
        decisions: Decisions that the owner counted.
    """

    def __init__(self, scheduling_options):
        self.clock = clock.ManualClock(100.0)
        options = kernel_config.KernelOptions(load_scheduling=scheduling_options)
        names = kernel.PolicyNames(hedge="none")
        self._owner = kernel.make_kernel(
            workloads.INSTANCE, data.ZoneId("z"), self.clock, names, options
        ).owner
        tables = workloads.make_tables(1)
        pool = tables.pool_by_id[workloads.POOL]
        servers = tuple(
            msgspec.structs.replace(server, slots=SLOTS)
            for server in pool.servers_by_service[SERVICE]
        )
        pool = msgspec.structs.replace(pool, servers_by_service={SERVICE: servers})
        route_by_id = {
            data.RouteId(kind): tables.route_by_id[workloads.ROUTE] for kind in SECONDS_BY_KIND
        }
        tables = data.Tables(route_by_id, {workloads.POOL: pool})
        self._execute(self._owner.handle(events.ViewChanged(tables, (workloads.INSTANCE,))))
        self.is_paused = False
        self._number = 0
        self._times_by_query = {}
        self._pending = []
        self.blocking = []
        self.ends = []
        self.sent = 0
        self.decisions = collections.Counter()

    def send(self, kind, goal_ms, deadline_ms):
        """Sends a sub-request to the owner."""
        self._number += 1
        self.sent += 1
        now = self.clock.now_seconds
        query_id = data.QueryId(f"q{self._number}")
        self._times_by_query[query_id] = (kind, now + goal_ms / 1000, now + deadline_ms / 1000)
        spec = msgspec.structs.replace(
            workloads.make_query_spec(self._number),
            query_id=query_id,
            route=data.RouteId(kind),
            rank=data.Rank(kind),
            remaining_ms=deadline_ms,
            goal_left_ms=goal_ms,
        )
        batch = messages.SubBatch(workloads.INSTANCE, spec, data.Snapshot(7), 1, (SERVICE,))
        self._execute(self._owner.handle(events.BatchArrived(batch)))

    def _execute(self, commands):
        for command in commands:
            if isinstance(command, events.StartCall):
                kind, goal_at, deadline = self._times_by_query[command.query.query_id]
                if self.is_paused:
                    self.blocking.append((kind, command.call_id))
                    continue
                end_at = self.clock.now_seconds + SECONDS_BY_KIND[kind]
                self.ends.append((kind, goal_at, deadline, end_at))
                heapq.heappush(self._pending, (end_at, command.call_id))
            elif isinstance(command, events.CountDecision):
                self.decisions[command.decision.value] += 1

    def run(self):
        """Ends all calls, also those started meanwhile."""
        while self._pending:
            self.clock.now_seconds, call_id = heapq.heappop(self._pending)
            self._reply(call_id)

    def _reply(self, call_id):
        keys = data.KeyRange(0, 10)
        holdings = (data.Holding(data.Snapshot(7), keys),)
        reply = events.CallReplied(call_id, data.Snapshot(7), keys, holdings, (), False)
        self._execute(self._owner.handle(reply))

    def observe(self, kind):
        """Sends sub-requests one after another, so that the owner knows how long they take."""
        for _ in range(WARM_UP_CALLS):
            self.send(kind, 5_000, 10_000)
            self.run()

    def pause(self):
        """Pauses the servers and fills their slots."""
        self.is_paused = True
        for _ in range(2 * SLOTS):
            self.send("urgent", 5_000, 10_000)
        assert len(self.blocking) == 2 * SLOTS, self.blocking
        self.ends.clear()
        self.sent = 0

    def resume(self):
        """Ends the calls that the pause has held, and all later ones."""
        self.is_paused = False
        for _, call_id in self.blocking:
            heapq.heappush(self._pending, (self.clock.now_seconds, call_id))
        self.run()


@given('an owner that orders by goal and has seen calls of "{kind}" sub-requests')
def make_goal_owner(context, kind):
    """Makes an owner that knows how long calls of a kind take."""
    context.goal_harness = GoalHarness(scheduling.Options(goal_order=True))
    context.goal_harness.observe(kind)


@given('it has seen calls of "{kind}" sub-requests')
def observe_kind(context, kind):
    """Lets the owner learn how long calls of another kind take."""
    context.goal_harness.observe(kind)


@given("the servers pause with all slots in use")
def pause_servers(context):
    """Pauses the servers."""
    context.goal_harness.pause()


@given(
    '{count:d} "{kind}" sub-requests arrive with {goal_ms:d} ms to the goal'
    " and {deadline_ms:d} ms to the deadline"
)
def send_with_goal(context, count, kind, goal_ms, deadline_ms):
    """Sends sub-requests, which are queued."""
    for _ in range(count):
        context.goal_harness.send(kind, goal_ms, deadline_ms)


@given("the pause lasts {count:d} ms")
def advance_clock(context, count):
    """Advances the clock."""
    context.goal_harness.clock.advance(count / 1000)


@when("the servers continue")
def resume_servers(context):
    """Ends the pause and runs all calls."""
    context.goal_harness.resume()


@then('at least {count:d} "{kind}" calls end within the {limit}')
def check_calls_within(context, count, kind, limit):
    """Counts the calls of a kind that end within their goal or deadline."""
    position = {"goal": 1, "deadline": 2}[limit]
    ends = [end for end in context.goal_harness.ends if end[0] == kind]
    assert sum(end[3] <= end[position] for end in ends) >= count, ends


@then("all sub-requests are called")
def check_all_called(context):
    """Checks that late sub-requests are called too."""
    assert len(context.goal_harness.ends) == context.goal_harness.sent


@then('no "{kind}" call is started')
def check_none_called(context, kind):
    """Checks that no sub-request of a kind is called."""
    assert not [end for end in context.goal_harness.ends if end[0] == kind]


@then('{count:d} decisions are counted as "{decision}"')
def check_decisions(context, count, decision):
    """Checks the number of counted decisions."""
    assert context.goal_harness.decisions[decision] == count, context.goal_harness.decisions


@then('at least {percent:d}% of the first {count:d} calls are "{kind}"')
def check_rank_share(context, percent, count, kind):
    """Checks the share of a rank among the first calls after a pause."""
    kinds = [end[0] for end in context.goal_harness.ends[:count]]
    assert kinds.count(kind) * 100 >= percent * count, kinds.count(kind)
