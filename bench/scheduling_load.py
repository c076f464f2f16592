"""Generated load on the kernels of a few entries that share backend servers, on a manual clock.

Each entry is a cell of one instance and calls the servers of all shards itself. Urgent and normal
queries are gathered from all shards. Servers have two slots and a queue, and pause regularly. A
seed determines all random decisions.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random

import msgspec

from monsoonhoist.core import clock, data, exchange, scheduling
from monsoonhoist.kernels import kernel
from monsoonhoist.overload import budget
from monsoonhoist.protocol import events, message_events
from monsoonhoist.shards import kernel_config

POOL = data.PoolId("set/1")
SNAPSHOT = data.Snapshot(1)
ZONE = data.ZoneId("z")
SERVER_SLOTS = 2
SERVER_QUEUE_MAX = 12
NETWORK_SECONDS = (0.0005, 0.0015)
PAUSE_SECONDS = (0.1, 0.15)
PAUSE_GAP_SECONDS = (2.4, 3.6)
# Least time from an instance to its callers and back, and mean of the exponential rest.
DELIVERY_MIN_SECONDS = 0.004
DELIVERY_REST_SECONDS = 0.0025
# Worth of an answer directly after its goal and at its deadline, as shares of that within the goal;
# in between it falls exponentially.
LATE_WORTH_MAX = 0.5
LATE_WORTH_MIN = 0.05
# A wake that is due is handled this much later, so that the simulated time always advances.
TIMER_DELAY_MIN_SECONDS = 1e-6


class Kind(msgspec.Struct, frozen=True):
    """A kind of query.

    Attributes:
        rank: Rank of its route.
        rate: Queries per second at all entries together.
        work_seconds: Least and greatest work time of a part.
        goal_ms: Latency goal of the route.
        deadline_ms: Deadline of the route.
        minimum_coverage: Minimum coverage of the route.
    """

    rank: data.Rank
    rate: float
    work_seconds: tuple[float, float]
    goal_ms: int
    deadline_ms: int
    minimum_coverage: float


URGENT = Kind(data.Rank.URGENT, 200.0, (0.004, 0.008), 60, 1033, 0.85)
NORMAL = Kind(data.Rank.NORMAL, 200.0, (0.011, 0.023), 177, 2023, 0.95)


@dataclasses.dataclass(frozen=True)
class Load:
    """A generated load.

    Attributes:
        kinds: Kinds of queries.
        seconds: Duration of arrivals.
        entries: Number of entries.
        shards: Number of shards; each has three servers.
        pauses: Whether servers pause.
    """

    kinds: tuple[Kind, ...] = (URGENT, NORMAL)
    seconds: float = 3.0
    entries: int = 7
    shards: int = 20
    pauses: bool = True


@dataclasses.dataclass
class Sample:
    """A query and its answer.

    Attributes:
        kind: Kind of the query.
        latency_seconds: Time until the answer arrives at the caller.
        share: Share of the shards in the answer; 0 without results.
        entry_seconds: Time until the entry gave the answer.
    """

    kind: Kind
    latency_seconds: float
    share: float
    entry_seconds: float

    @property
    def is_in_goal(self) -> bool:
        """Whether the answer has results and met the goal."""
        return self.share > 0.0 and self.latency_seconds * 1000 <= self.kind.goal_ms

    @property
    def worth(self) -> float:
        """Square of the share of shards, reduced if the answer is late."""
        if self.is_in_goal:
            return self.share**2
        goal_ms, deadline_ms = self.kind.goal_ms, self.kind.deadline_ms
        lateness = (self.latency_seconds * 1000 - goal_ms) / (deadline_ms - goal_ms)
        ratio = LATE_WORTH_MIN / LATE_WORTH_MAX
        return self.share**2 * LATE_WORTH_MAX * ratio ** min(1.0, lateness)


class Server:
    """A backend server that runs calls in order of arrival, within its slots.

    Args:
        rng: Random numbers.
        pauses: Whether the server pauses.
    """

    def __init__(self, rng: random.Random, pauses: bool):
        self._rng = rng
        self._pauses = pauses
        self._pause_start = rng.uniform(0.0, PAUSE_GAP_SECONDS[1]) if pauses else float("inf")
        self._pause_seconds = rng.uniform(*PAUSE_SECONDS)
        self.running = 0
        self.waiting: collections.deque = collections.deque()

    def load(self) -> exchange.Load:
        """Returns the load as the server reports it."""
        return exchange.Load(self.running, len(self.waiting), SERVER_SLOTS)

    def end_time(self, now: float, work_seconds: float) -> float:
        """Returns when work that starts now ends, pauses included."""
        while self._pause_start + self._pause_seconds <= now:
            gap = self._rng.uniform(*PAUSE_GAP_SECONDS)
            self._pause_start += self._pause_seconds + gap
            self._pause_seconds = self._rng.uniform(*PAUSE_SECONDS)
        end = now + work_seconds
        if now >= self._pause_start:
            return self._pause_start + self._pause_seconds + work_seconds
        return end + self._pause_seconds if end > self._pause_start else end


class Run:
    """One run of a load on the kernels.

    Args:
        load: The load.
        options: Mechanisms that are enabled.
        seed: Seed of all random decisions.
        balance: Name of the policy that chooses servers.

    Attributes:
        samples: The queries and their answers.
        count_by_decision: Decisions of the scheduling mechanisms.
        calls: Number of calls to servers.
    """

    def __init__(
        self,
        load: Load,
        options: scheduling.Options,
        seed: int,
        balance: str = "expected-latency",
    ):
        self._load = load
        self._rng = random.Random(seed)
        self._work_rng = random.Random(seed + 1)
        self._delivery_rng = random.Random(seed + 2)
        self.clock = clock.ManualClock(100.0)
        self.samples: list[Sample] = []
        self.count_by_decision: collections.Counter = collections.Counter()
        self.calls = 0
        self._actions: list = []
        self._sequence = itertools.count()
        self._query_by_id: dict = {}
        self._kind_by_route = {data.RouteId(kind.rank.value): kind for kind in load.kinds}
        self._wake_by_kernel: dict = {}
        self._open_calls: set = set()
        self._tables = make_tables(load)
        self._server_by_id = {
            server.server_id: Server(random.Random(f"{seed}/{server.server_id}"), load.pauses)
            for servers in self._tables.pool_by_id[POOL].servers_by_service.values()
            for server in servers
        }
        names = kernel.PolicyNames(ownership="cell", balance=balance, hedge="recent-quantile")
        extra_calls = budget.BudgetOptions(194.0, refusals_cost=True, hedges_use_allowance=True)
        kernel_options = kernel_config.KernelOptions(
            extra_calls, finish_latencies=4.0, load_scheduling=options
        )
        self._entries = [data.InstanceId(f"i-{number}") for number in range(load.entries)]
        self._kernel_by_entry = {
            name: kernel.make_kernel(name, ZONE, self.clock, names, kernel_options)
            for name in self._entries
        }
        for name in self._entries:
            instances = tuple(self._entries)
            view = events.ViewChanged(self._tables, instances, (name,), load.entries)
            self._handle(name, "entry", view)
            self._handle(name, "owner", view)

    def run(self) -> "Run":
        """Sends all queries, runs until nothing is left to do and returns itself."""
        for kind in self._load.kinds:
            arrival = self.clock.now_seconds
            while True:
                arrival += self._rng.expovariate(kind.rate)
                if arrival > 100.0 + self._load.seconds:
                    break
                entry = self._rng.choice(self._entries)
                self._schedule(arrival, lambda kind=kind, entry=entry: self._send(kind, entry))
        while self._actions:
            at, _, action = heapq.heappop(self._actions)
            self.clock.now_seconds = max(self.clock.now_seconds, at)
            action()
        return self

    def of_rank(self, rank: data.Rank) -> list[Sample]:
        """Returns the samples of a rank."""
        return [sample for sample in self.samples if sample.kind.rank is rank]

    def _schedule(self, at, action):
        heapq.heappush(self._actions, (at, next(self._sequence), action))

    def _send(self, kind, entry):
        query_id = data.QueryId(f"{entry}.{next(self._sequence)}")
        self._query_by_id[query_id] = (kind, self.clock.now_seconds)
        content = exchange.HttpRequest("GET", "/", (), b"")
        request = exchange.CallerRequest(query_id, content, 1000, is_clamped=True)
        route = data.RouteId(kind.rank.value)
        self._handle(entry, "entry", events.QueryArrived(query_id, route, request))

    def _handle(self, name, role, event):
        """Passes an event to a kernel and executes the resulting commands."""
        event_kernel = getattr(self._kernel_by_entry[name], role)
        for command in event_kernel.handle(event):
            match command:
                case events.SendMessage():
                    self._deliver(name, command.message)
                case events.StartCall():
                    self._start_call(name, command)
                case events.CancelCall():
                    cancelled = events.CallFailed(command.call_id, data.Refusal.CANCELLED, True)
                    self._end_call(name, cancelled, 0.0)
                case events.Respond():
                    self._record_answer(command)
                case events.CountDecision():
                    self.count_by_decision[command.decision] += 1
        wake = event_kernel.next_wake()
        if wake is not None and self._wake_by_kernel.get((name, role)) != wake:
            self._wake_by_kernel[name, role] = wake
            wake_at = max(wake, self.clock.now_seconds + TIMER_DELAY_MIN_SECONDS)
            self._schedule(wake_at, lambda: self._wake(name, role, wake))

    def _wake(self, name, role, wake):
        """Passes ``TimeReached`` to a kernel unless its wake has changed meanwhile."""
        if self._wake_by_kernel.get((name, role)) == wake:
            del self._wake_by_kernel[name, role]
            self._handle(name, role, events.TimeReached())

    def _deliver(self, name, message):
        entry_event = message_events.to_entry_event(name, message)
        owner_event = message_events.to_owner_event(message)
        role, event = ("entry", entry_event) if entry_event else ("owner", owner_event)
        self._schedule(self.clock.now_seconds, lambda: self._handle(name, role, event))

    def _record_answer(self, command):
        kind, sent_at = self._query_by_id.pop(command.query_id)
        coverage = command.answer.coverage
        has_results = command.answer.outcome in (data.Outcome.ANSWERED, data.Outcome.PARTIAL)
        share = coverage.share if has_results else 0.0
        delivery = DELIVERY_MIN_SECONDS
        delivery += self._delivery_rng.expovariate(1.0 / DELIVERY_REST_SECONDS)
        entry_seconds = self.clock.now_seconds - sent_at
        self.samples.append(Sample(kind, entry_seconds + delivery, share, entry_seconds))

    def _start_call(self, name, command):
        self.calls += 1
        self._open_calls.add((name, command.call_id))
        delay = self._rng.uniform(*NETWORK_SECONDS)
        work = self._work_rng.uniform(*self._kind_by_route[command.query.route].work_seconds)
        self._schedule(self.clock.now_seconds + delay, lambda: self._arrive(name, command, work))

    def _arrive(self, name, command, work):
        server = self._server_by_id[command.server.server_id]
        if server.running < SERVER_SLOTS:
            self._run_call(server, name, command, work)
        elif len(server.waiting) < SERVER_QUEUE_MAX:
            server.waiting.append((name, command, work))
        else:
            report = exchange.ServerReport(load=server.load())
            shed = events.CallFailed(command.call_id, data.Refusal.SHED, False, report=report)
            self._end_call(name, shed, self._rng.uniform(*NETWORK_SECONDS))

    def _run_call(self, server, name, command, work):
        server.running += 1
        end_at = server.end_time(self.clock.now_seconds, work)

        def end():
            server.running -= 1
            if server.waiting:
                self._run_call(server, *server.waiting.popleft())
            number = int(command.server.service.removeprefix("s"))
            reply = events.CallReplied(
                command.call_id,
                SNAPSHOT,
                data.KeyRange(number, number + 1),
                (),
                (),
                False,
                report=exchange.ServerReport(load=server.load()),
            )
            self._end_call(name, reply, self._rng.uniform(*NETWORK_SECONDS))

        self._schedule(end_at, end)

    def _end_call(self, name, event, delay):
        """Reports the end of a call to the owner, unless it is reported already."""

        def report():
            if (name, event.call_id) in self._open_calls:
                self._open_calls.remove((name, event.call_id))
                self._handle(name, "owner", event)

        self._schedule(self.clock.now_seconds + delay, report)


def make_tables(load: Load) -> data.Tables:
    """Returns tables with a route for each kind of a load, to one pool of its shards."""
    services = [data.ServiceId(f"s{number:02d}") for number in range(load.shards)]
    servers_by_service = {
        service: tuple(
            data.Server(
                data.ServerId(f"{service}-{letter}"),
                service,
                f"{service}-{letter}:1",
                ZONE,
                SERVER_SLOTS,
                60,
                False,
            )
            for letter in "abc"
        )
        for service in services
    }
    routes = {
        data.RouteId(kind.rank.value): data.Route(
            data.RouteId(kind.rank.value),
            kind.rank,
            POOL,
            True,
            datetime.timedelta(milliseconds=kind.deadline_ms),
            kind.minimum_coverage,
            0.2,
            attempts=3,
            goal=datetime.timedelta(milliseconds=kind.goal_ms),
        )
        for kind in load.kinds
    }
    pool = data.Pool(POOL, load.shards, servers_by_service, SNAPSHOT, "greatest-records")
    return data.Tables(routes, {POOL: pool})
