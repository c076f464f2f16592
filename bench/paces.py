"""Compares ways to start the backend servers of an availability zone slowly, on generated load.

Owners of several cells call the servers of a few shards on a simulated clock; each query goes to
all shards. The servers have slots and a queue, refuse calls when the queue is full, and take
longer while they are cold. The owners are those of the program.

Usage: ``python -m bench.paces [--seed N] [--load SHARE] [--pace NAME]``.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import math
import random
import statistics
import sys
from collections.abc import Callable

from monsoonhoist.core import clock, data, exchange
from monsoonhoist.kernels import kernel
from monsoonhoist.overload import budget
from monsoonhoist.policy import pace
from monsoonhoist.protocol import events, fanout, messages
from monsoonhoist.shards import kernel_config, owner, slow_start

POLICIES = kernel.PolicyNames(ownership="cell", balance="expected-latency", hedge="recent-quantile")
POOL = data.PoolId("p")
ROUTE = data.RouteId("r")
ZONES = ("a", "b", "c")
RETURNING_ZONE = "a"
SLOTS = 2
QUEUE_LENGTH_MAX = 8
WORK_MEDIAN_SECONDS = 0.04
WORK_SIGMA = 0.35
LINK_SECONDS = 0.001
REFUSAL_SECONDS = 0.001
GOAL_SECONDS = 0.12
DEADLINE_MS = 1000
EXTRA_CALLS_SHARE = 0.2
GONE_AT_SECONDS = 6.0
BACK_AT_SECONDS = 14.0
END_SECONDS = 34.0
BIN_SECONDS = 0.5
# Share of its usual load, in two bins one after the other, at which a server has its part again.
BACK_IN_SERVICE_SHARE = 0.8


class FixedPace(pace.Pace):
    """Baseline: the share grows with time alone, over ten seconds."""

    def next_share(self, sample: pace.Sample, now: float) -> float:
        """Returns the share that the time since the start gives."""
        return max(pace.INITIAL_SHARE, (now - self.started_at) / 10.0)


class AimdPace(pace.Pace):
    """Baseline: additive increase, multiplicative decrease after slow calls."""

    def next_share(self, sample: pace.Sample, now: float) -> float:
        """Returns the changed share."""
        return self.share * 0.7 if sample.latency_ratio > 2.0 else self.share + 0.1


class GradientPace(pace.ResponsePace):
    """Baseline: the gradient of latency without the load that servers report."""

    def measure(self, sample: pace.Sample) -> float:
        """Returns the latency ratio."""
        return sample.latency_ratio


class ReportedPace(pace.Pace):
    """Baseline: the reciprocal of what the reported load predicts."""

    def measure(self, sample: pace.Sample) -> float:
        """Returns how much longer than usual the reported load makes a call."""
        load = sample.load
        queue_factor = max(1.0, (load.running + load.waiting) / load.slots) if load else 1.0
        return queue_factor * load.pace_percent / pace.PERCENT if load else 1.0

    def next_share(self, sample: pace.Sample, now: float) -> float:
        """Returns the reciprocal of the ratio."""
        return 1.1 / self.latency_ratio


PACE_BY_NAME: dict[str, slow_start.MakePace | None] = {
    "none": None,
    "fixed": FixedPace,
    "aimd": AimdPace,
    "gradient": GradientPace,
    "reported": ReportedPace,
    "response": pace.ResponsePace,
}


def make_cold_by_time(factor: float, seconds: float) -> Callable[[float, int], float]:
    """Returns a server's work time, as a multiple, that falls with the time since its start."""
    return lambda age, served: max(1.0, factor - (factor - 1.0) * age / seconds)


def make_cold_by_calls(factor: float, calls: int) -> Callable[[float, int], float]:
    """Returns a server's work time, as a multiple, that falls with the calls it has served."""
    return lambda age, served: 1.0 + (factor - 1.0) * math.exp(-served / calls)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What happens to the servers of one availability zone.

    Attributes:
        name: Name in the printed table.
        is_listed: Whether the table lists them while they are gone, so that calls to them fail.
        work_factor: Work time as a multiple of the usual one, by the time since the return in
            seconds and the number of calls served since.
        has_pace: Whether servers report how long work takes now.
    """

    name: str
    is_listed: bool
    work_factor: Callable[[float, int], float]
    has_pace: bool = True


SCENARIOS = (
    Scenario("fails, returns warm", True, make_cold_by_time(1.0, 1.0)),
    Scenario("fails, returns cold for 8 s", True, make_cold_by_time(4.0, 8.0)),
    Scenario("unlisted, returns cold for 8 s", False, make_cold_by_time(4.0, 8.0)),
    Scenario("the same, reports no pace", False, make_cold_by_time(4.0, 8.0), has_pace=False),
    Scenario("unlisted, returns cold for 16 s", False, make_cold_by_time(4.0, 16.0)),
    Scenario("unlisted, cold for 40 calls", False, make_cold_by_calls(6.0, 40)),
)


@dataclasses.dataclass
class _Server:
    """A simulated server; ``queue`` holds the work that waits for a slot."""

    zone: str
    running: int = 0
    served: int = 0
    queue: collections.deque = dataclasses.field(default_factory=collections.deque)


@dataclasses.dataclass(frozen=True)
class Summary:
    """Results of a run, from the return of the servers on.

    Attributes:
        seconds_to_share: Time until the returned servers have their part; infinite if never.
        failures: Calls that were refused, failed or timed out.
        late_share: Share of queries later than the goal or incomplete.
        p99_ms: 99th percentile of the latency of complete queries, in milliseconds.
        first_second_share: Load of the returned servers in the first second, as a multiple of the
            usual one.
    """

    seconds_to_share: float
    failures: int
    late_share: float
    p99_ms: float
    first_second_share: float


class Simulation:
    """Cells that call the servers of a few shards.

    Args:
        scenario: What happens to the servers of one zone.
        make_pace: Creates the paces of servers; None for none.
        seed: Seed of all random decisions.
        load: Load as a share of the capacity of all servers.
        cells: Number of cells, each of one instance.
        shards: Number of shards.
    """

    def __init__(
        self,
        scenario: Scenario,
        make_pace: slow_start.MakePace | None,
        seed: int = 1,
        load: float = 0.3,
        cells: int = 12,
        shards: int = 24,
    ):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._clock = clock.ManualClock()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        mean = WORK_MEDIAN_SECONDS * math.exp(WORK_SIGMA**2 / 2)
        self._rate = load * len(ZONES) * SLOTS / mean
        self._services = tuple(data.ServiceId(f"s{number}") for number in range(shards))
        self._server_by_id = {
            data.ServerId(f"{service}-{zone}"): _Server(zone)
            for service in self._services
            for zone in ZONES
        }
        options = kernel_config.KernelOptions(
            budget.BudgetOptions(), finish_latencies=4.0, make_pace=make_pace
        )
        self._owners: list[owner.OwnerKernel] = []
        self._wakes: list[float | None] = [None] * cells
        for number in range(cells):
            name = data.InstanceId(f"i{number}")
            zone = data.ZoneId(ZONES[number % len(ZONES)])
            kernels = kernel.make_kernel(name, zone, self._clock, POLICIES, options)
            self._owners.append(kernels.owner)
        self._publish(is_present=True, incarnation=1)
        self._command_by_call: dict[tuple[int, int], events.StartCall] = {}
        self._open_shards_by_query: dict[data.QueryId, int] = {}
        self._failed_queries: set[data.QueryId] = set()
        self._started_by_query: dict[data.QueryId, float] = {}
        self._first_calls = 0
        self._extra_calls = 0
        self.calls_by_bin: collections.Counter[tuple[int, str]] = collections.Counter()
        self.failures_after_return = 0
        self.latencies: list[float] = []
        self.late = 0
        self.queries = 0

    @property
    def _now(self) -> float:
        return self._clock.now_seconds

    def run(self) -> Summary:
        """Runs the scenario and returns its summary."""
        self._schedule(0.0, self._send_queries)
        if not self._scenario.is_listed:
            self._schedule(GONE_AT_SECONDS, lambda: self._publish(False, 1))
            self._schedule(BACK_AT_SECONDS, lambda: self._publish(True, 2))
        self._schedule(BACK_AT_SECONDS, self._restart)
        while self._actions:
            action_at, _, action = heapq.heappop(self._actions)
            self._clock.now_seconds = max(self._now, action_at)
            action()
        return self._summarise()

    def _summarise(self) -> Summary:
        ratios = [
            self.calls_by_bin[number, RETURNING_ZONE]
            * len(ZONES)
            / max(1, sum(self.calls_by_bin[number, zone] for zone in ZONES))
            for number in range(int(END_SECONDS / BIN_SECONDS))
        ]
        first = int(BACK_AT_SECONDS / BIN_SECONDS)
        seconds = math.inf
        for number in range(first, len(ratios) - 1):
            if min(ratios[number : number + 2]) >= BACK_IN_SERVICE_SHARE:
                seconds = (number - first) * BIN_SECONDS
                break
        p99 = statistics.quantiles(self.latencies, n=100)[98] * 1000
        return Summary(
            seconds,
            self.failures_after_return,
            self.late / self.queries,
            p99,
            statistics.fmean(ratios[first : first + 2]),
        )

    def _schedule(self, action_at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._actions, (action_at, next(self._sequence), action))

    def _publish(self, is_present: bool, incarnation: int) -> None:
        """Passes tables with or without the returning servers to all owners."""
        servers_by_service = {
            service: tuple(
                data.Server(
                    data.ServerId(f"{service}-{zone}"),
                    service,
                    f"{service}-{zone}:1",
                    data.ZoneId(zone),
                    SLOTS,
                    100,
                    False,
                    incarnation=incarnation if zone == RETURNING_ZONE else 1,
                )
                for zone in ZONES
                if is_present or zone != RETURNING_ZONE
            )
            for service in self._services
        }
        pool = data.Pool(POOL, len(self._services), servers_by_service, data.Snapshot(1))
        tables = data.Tables({}, {POOL: pool})
        for number in range(len(self._owners)):
            instance = data.InstanceId(f"i{number}")
            view = events.ViewChanged(tables, (instance,), (instance,), len(self._owners))
            self._handle(number, view)

    def _restart(self) -> None:
        for server in self._server_by_id.values():
            if server.zone == RETURNING_ZONE:
                server.served = 0

    def _is_gone(self, server: _Server) -> bool:
        is_absent = GONE_AT_SECONDS <= self._now < BACK_AT_SECONDS
        return server.zone == RETURNING_ZONE and is_absent

    def _send_queries(self) -> None:
        """Sends a query to a random cell, and schedules the next one."""
        if self._now >= END_SECONDS:
            return
        self._schedule(self._now + self._rng.expovariate(self._rate), self._send_queries)
        number = self._rng.randrange(len(self._owners))
        query_id = data.QueryId(f"i{number}.1.{next(self._sequence)}")
        self._open_shards_by_query[query_id] = len(self._services)
        self._started_by_query[query_id] = self._now
        content = exchange.HttpRequest("GET", "/", (), b"")
        spec = fanout.QuerySpec(
            query_id, ROUTE, POOL, data.Rank.URGENT, content, 1, DEADLINE_MS, 0.2, True, 2
        )
        origin = data.InstanceId(f"i{number}")
        batch = messages.SubBatch(origin, spec, data.Snapshot(1), 1, self._services)
        self._first_calls += len(self._services)
        self._handle(number, events.BatchArrived(batch))

    def _handle(self, number: int, event: events.OwnerEvent) -> None:
        """Passes an event to an owner and executes the resulting commands."""
        for command in self._owners[number].handle(event):
            match command:
                case events.StartCall():
                    self._start_call(number, command)
                case events.CancelCall():
                    reason = data.Refusal.CANCELLED
                    failure = events.CallFailed(command.call_id, reason, True)
                    self._schedule(self._now, lambda n=number, f=failure: self._end_call(n, f))
                case events.SendMessage(message=messages.CallsWanted()):
                    self._allow(number, command.message)
                case events.SendMessage(message=messages.SubReply()):
                    self._record_reply(command.message)
        self._set_wake(number)

    def _set_wake(self, number: int) -> None:
        wake = self._owners[number].next_wake()
        if wake is None or wake == self._wakes[number]:
            return
        self._wakes[number] = wake

        def wake_up() -> None:
            if self._wakes[number] == wake:
                self._wakes[number] = None
                self._handle(number, events.TimeReached())

        self._schedule(wake, wake_up)

    def _allow(self, number: int, message: messages.CallsWanted) -> None:
        """Allows extra calls within a share of the first calls of all cells."""
        allowances = []
        for request in message.requests:
            is_allowed = self._extra_calls < EXTRA_CALLS_SHARE * self._first_calls
            self._extra_calls += is_allowed
            allowances.append(
                messages.Allowance(request.service, request.attempt, request.allowed + is_allowed)
            )
        reply = messages.CallsAllowed(message.query_id, tuple(allowances))
        event = events.CallsAllowed(reply)
        self._schedule(self._now, lambda: self._handle(number, event))

    def _record_reply(self, reply: messages.SubReply) -> None:
        query_id = reply.query_id
        if reply.failures:
            self._failed_queries.add(query_id)
        self._open_shards_by_query[query_id] -= len(reply.parts) + len(reply.failures)
        if self._open_shards_by_query[query_id] > 0:
            return
        started = self._started_by_query.pop(query_id)
        if started >= BACK_AT_SECONDS:
            latency = self._now - started
            self.queries += 1
            self.latencies.append(latency)
            self.late += latency > GOAL_SECONDS or query_id in self._failed_queries

    def _start_call(self, number: int, command: events.StartCall) -> None:
        """Sends a call to its server."""
        server = self._server_by_id[command.server.server_id]
        self._command_by_call[number, command.call_id] = command
        self.calls_by_bin[int(self._now / BIN_SECONDS), server.zone] += 1
        self._schedule(
            self._now + LINK_SECONDS, lambda: self._arrive(number, command.call_id, server)
        )

    def _arrive(self, number: int, call_id: int, server: _Server) -> None:
        """Runs, queues or refuses a call at its server."""
        if self._is_gone(server):
            failure = events.CallFailed(call_id, data.Refusal.CONNECT_FAILED, False)
            self._schedule(self._now + LINK_SECONDS, lambda: self._end_call(number, failure))
        elif server.running < SLOTS:
            self._run(number, call_id, server)
        elif len(server.queue) < QUEUE_LENGTH_MAX:
            server.queue.append((number, call_id))
        else:
            report = exchange.ServerReport(load=self._load(server))
            failure = events.CallFailed(call_id, data.Refusal.SHED, False, report=report)
            self._schedule(self._now + REFUSAL_SECONDS, lambda: self._end_call(number, failure))

    def _work_factor(self, server: _Server) -> float:
        if server.zone != RETURNING_ZONE or self._now < BACK_AT_SECONDS:
            return 1.0
        return self._scenario.work_factor(self._now - BACK_AT_SECONDS, server.served)

    def _load(self, server: _Server) -> exchange.Load:
        percent = round(100 * self._work_factor(server)) if self._scenario.has_pace else 100
        return exchange.Load(server.running, len(server.queue), SLOTS, percent)

    def _run(self, number: int, call_id: int, server: _Server) -> None:
        server.running += 1
        seconds = self._rng.lognormvariate(math.log(WORK_MEDIAN_SECONDS), WORK_SIGMA)
        seconds *= self._work_factor(server)
        self._schedule(self._now + seconds, lambda: self._finish(number, call_id, server))

    def _finish(self, number: int, call_id: int, server: _Server) -> None:
        """Ends a call and runs the next one of the queue that was not cancelled."""
        server.served += 1
        report = exchange.ServerReport(load=self._load(server))
        keys = data.KeyRange(0, 1)
        reply = events.CallReplied(call_id, data.Snapshot(1), keys, (), (), False, report=report)
        self._schedule(self._now + LINK_SECONDS, lambda: self._end_call(number, reply))
        server.running -= 1
        while server.queue:
            waiting = server.queue.popleft()
            if waiting in self._command_by_call:
                self._run(*waiting, server)
                break

    def _end_call(self, number: int, event: events.CallReplied | events.CallFailed) -> None:
        """Reports the end of a call to its owner, unless it was cancelled."""
        if self._command_by_call.pop((number, event.call_id), None) is None:
            return
        if isinstance(event, events.CallFailed) and event.reason is not data.Refusal.CANCELLED:
            self.failures_after_return += self._now >= BACK_AT_SECONDS
        self._handle(number, event)


def main() -> None:
    """Runs all scenarios with all paces and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, default=0.3)
    parser.add_argument("--pace", default="", help="name of the only pace to run")
    parser.add_argument("--scenario", default="", help="part of the name of the scenarios to run")
    options = parser.parse_args()
    print("| scenario | pace | s to share | first second | failures | late | p99 ms |")
    print("|---|---|---|---|---|---|---|")
    for scenario in SCENARIOS:
        for name, make_pace in PACE_BY_NAME.items():
            if options.pace not in ("", name) or options.scenario not in scenario.name:
                continue
            summary = Simulation(scenario, make_pace, options.seed, options.load).run()
            print(
                f"| {scenario.name} | {name} | {summary.seconds_to_share:.1f} |"
                f" {summary.first_second_share:.2f} | {summary.failures} |"
                f" {summary.late_share:.3f} | {summary.p99_ms:.0f} |"
            )
            sys.stdout.flush()


if __name__ == "__main__":
    main()
