"""Discrete-event simulation of the instances of a cell, without I/O.

The kernels of the instances are real. A queue of actions on a simulated clock stands for the event
loop, for the streams, which delay and lose messages, and for the servers, which are slow, refuse
calls or lose replies. A seed determines all random decisions.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random

from monsoonhoist.core import clock, data, exchange
from monsoonhoist.kernels import kernel
from monsoonhoist.overload import budget
from monsoonhoist.protocol import events, message_events, messages
from monsoonhoist.shards import kernel_config

POOL = data.PoolId("set/1")
ROUTE = data.RouteId("r")
SNAPSHOT = data.Snapshot(1)
ZONE = data.ZoneId("z")
POLICIES = kernel.PolicyNames(
    ownership="cell", balance="expected-latency", hedge="recent-quantile", admission="all"
)
# A wake that is due is handled this much later, so that the simulated time always advances.
TIMER_DELAY_MIN_SECONDS = 1e-6


@dataclasses.dataclass(frozen=True)
class LoadOptions:
    """Load and faults of a simulation.

    Attributes:
        members: Number of instances in the cell.
        shards: Number of shards in the pool.
        queries: Number of queries that callers send.
        gap_seconds: Mean time between two queries.
        calls_per_shard_max: Number of calls that the route allows for each shard.
        slow_share: Share of the servers that are ten times slower than the others.
        lost_share: Share of the calls whose reply is lost.
        refused_share: Share of the calls that are refused without running anything.
        suspend_share: Share of the queries at which an instance is suspended for a time.
        disconnect_share: Share of the queries shortly after which a stream ends.
        allowance: Extra calls to a shard that all instances together may make in a window, in
            addition to a share of the first calls.
        ratio: That share of the first calls, from 0 to 1.
    """

    members: int = 5
    shards: int = 12
    queries: int = 150
    gap_seconds: float = 0.04
    calls_per_shard_max: int = 2
    slow_share: float = 0.2
    lost_share: float = 0.03
    refused_share: float = 0.02
    suspend_share: float = 0.25
    disconnect_share: float = 0.1
    allowance: float = 220.0
    ratio: float = 0.2


class CellSimulation:
    """A cell under load.

    Args:
        seed: Seed of all random decisions.
        load: Load and faults.

    Attributes:
        load: Load and faults.
        clock: The simulated clock.
        instances: Instances of the cell.
        call_times_by_service: Times of all calls that reached the servers of a shard.
        query_times_by_service: Times of the queries sent to a shard.
        servers_by_work: Servers that ran the work of a query for a shard, by query and shard.
        answers: Answers to callers.
    """

    def __init__(self, seed: int, load: LoadOptions):
        self.load = load
        self._rng = random.Random(seed)
        self.clock = clock.ManualClock(100.0)
        self.instances = tuple(data.InstanceId(f"i-{number}") for number in range(load.members))
        self.call_times_by_service = collections.defaultdict(list)
        self.query_times_by_service = collections.defaultdict(list)
        self.servers_by_work = collections.defaultdict(set)
        self.answers = []
        self._actions = []
        self._sequence = itertools.count()
        self._last_arrival_by_pair = collections.defaultdict(float)
        self._stream_number_by_pair = collections.Counter()
        self._suspended_until = collections.defaultdict(float)
        self._call_by_key = {}
        self._wake_by_kernel = {}
        self._tables = make_tables(load)
        self._slow_server_ids = {
            server.server_id
            for servers in self._tables.pool_by_id[POOL].servers_by_service.values()
            for server in servers
            if self._rng.random() < load.slow_share
        }
        extra_calls = budget.BudgetOptions(
            allowance=load.allowance, refusals_cost=True, hedges_use_allowance=True
        )
        options = kernel_config.KernelOptions(extra_calls, finish_latencies=4.0)
        self._kernels_by_instance = {
            instance: kernel.make_kernel(instance, ZONE, self.clock, POLICIES, options)
            for instance in self.instances
        }
        for instance in self.instances:
            self.set_view(instance, self.instances)

    def set_view(self, instance, instances, cells=1):
        """Sets the live instances that an instance sees."""
        view = events.ViewChanged(self._tables, instances, instances, cells)
        self._handle(instance, "entry", view)
        self._handle(instance, "owner", view)

    def run(self):
        """Sends all queries and runs until nothing is left to do."""
        query_at = self.clock.now_seconds
        for number in range(self.load.queries):
            query_at += self._rng.expovariate(1.0 / self.load.gap_seconds)
            self._schedule_at(query_at, lambda number=number: self._send_query(number))
            if self._rng.random() < self.load.suspend_share:
                self._schedule_at(query_at, self._suspend_instance)
            if self._rng.random() < self.load.disconnect_share:
                self._schedule_at(query_at + self._rng.uniform(0.0, 0.1), self._end_stream)
        while self._actions:
            action_at, _, action = heapq.heappop(self._actions)
            self.clock.now_seconds = max(self.clock.now_seconds, action_at)
            action()

    def max_servers(self):
        """Returns the largest number of servers of a shard that ran the work of one query."""
        return max(len(servers) for servers in self.servers_by_work.values())

    def _schedule_at(self, action_at, action):
        heapq.heappush(self._actions, (action_at, next(self._sequence), action))

    def _schedule_after(self, seconds, action):
        self._schedule_at(self.clock.now_seconds + seconds, action)

    def _send_query(self, number):
        """Sends a query to a random instance."""
        query_id = data.QueryId(f"q-{number}")
        content = exchange.HttpRequest("GET", "/", (), b"")
        request = exchange.CallerRequest(f"r-{number}", content, 1000, is_clamped=True)
        for service in self._tables.pool_by_id[POOL].servers_by_service:
            self.query_times_by_service[service].append(self.clock.now_seconds)
        entry = self._rng.choice(self.instances)
        self._deliver(entry, "entry", events.QueryArrived(query_id, ROUTE, request))

    def _suspend_instance(self):
        """Suspends a random instance, which then handles no messages and timers for a time."""
        instance = self._rng.choice(self.instances)
        end = self.clock.now_seconds + self._rng.choice((0.02, 0.05, 0.08, 0.3))
        self._suspended_until[instance] = max(self._suspended_until[instance], end)

    def _end_stream(self):
        """Ends the stream from one instance to another; messages in transit are lost."""
        source, target = self._rng.sample(self.instances, 2)
        self._stream_number_by_pair[source, target] += 1
        self._deliver(source, "entry", events.PeerLost(target))

    def _deliver(self, instance, role, event):
        """Passes an event to a kernel as soon as its instance is not suspended."""
        until = self._suspended_until[instance]
        if until > self.clock.now_seconds:
            self._schedule_at(until, lambda: self._deliver(instance, role, event))
        else:
            self._handle(instance, role, event)

    def _handle(self, instance, role, event):
        """Passes an event to a kernel and executes the resulting commands."""
        event_kernel = getattr(self._kernels_by_instance[instance], role)
        for command in event_kernel.handle(event):
            match command:
                case events.SendMessage():
                    self._send(instance, command.instance, command.message)
                case events.StartCall():
                    self._start_call(instance, command)
                case events.CancelCall():
                    self._end_call(instance, command.call_id, make_cancellation(command.call_id))
                case events.Respond():
                    self.answers.append(command.answer)
        self._set_wake(instance, role, event_kernel.next_wake())

    def _set_wake(self, instance, role, wake):
        """Schedules ``TimeReached`` for a kernel, in place of its earlier wake."""
        if wake is None or self._wake_by_kernel.get((instance, role)) == wake:
            return
        self._wake_by_kernel[instance, role] = wake

        def handle_timer():
            if self._wake_by_kernel.get((instance, role)) == wake:
                del self._wake_by_kernel[instance, role]
                self._deliver(instance, role, events.TimeReached())

        self._schedule_at(max(wake, self.clock.now_seconds + TIMER_DELAY_MIN_SECONDS), handle_timer)

    def _send(self, source, target, message):
        """Sends a message, which arrives after the earlier ones of its stream."""
        pair = (source, target)
        stream_number = self._stream_number_by_pair[pair]
        delay = 0.0 if source == target else self._rng.choice((0.001, 0.001, 0.002, 0.012))
        arrival_at = max(self.clock.now_seconds + delay, self._last_arrival_by_pair[pair])
        self._last_arrival_by_pair[pair] = arrival_at

        def arrive():
            if stream_number == self._stream_number_by_pair[pair]:
                self._receive(target, source, message)

        self._schedule_at(arrival_at, arrive)

    def _receive(self, instance, sender, message):
        """Passes a message to an instance as soon as it is not suspended."""
        until = self._suspended_until[instance]
        if until > self.clock.now_seconds:
            self._schedule_at(until, lambda: self._receive(instance, sender, message))
            return
        if isinstance(message, messages.SubBatch | messages.BatchCheck) and sender != instance:
            query_id = message.query.query_id if isinstance(message, messages.SubBatch) else None
            self._send(instance, sender, messages.BatchTaken(query_id or message.query_id))
        event = message_events.to_entry_event(sender, message)
        if event is not None:
            self._handle(instance, "entry", event)
        event = message_events.to_owner_event(message)
        if event is not None:
            self._handle(instance, "owner", event)

    def _start_call(self, instance, command):
        """Starts a call to a server and schedules its end."""
        server = command.server
        self.call_times_by_service[server.service].append(self.clock.now_seconds)
        draw = self._rng.random()
        key = (instance, command.call_id)
        self._call_by_key[key] = command
        if draw < self.load.refused_share:
            event = events.CallFailed(command.call_id, data.Refusal.SHED, False)
            self._schedule_after(0.002, lambda: self._end_call(instance, command.call_id, event))
            return
        self.servers_by_work[command.query.query_id, server.service].add(server.server_id)
        duration_seconds = self._rng.uniform(0.006, 0.02) * (
            10 if server.server_id in self._slow_server_ids else 1
        )
        if draw < self.load.refused_share + self.load.lost_share:
            event = events.CallFailed(command.call_id, data.Refusal.CONNECTION_LOST, True)
        else:
            event = make_reply(command)
        self._schedule_after(
            duration_seconds, lambda: self._end_call(instance, command.call_id, event)
        )

    def _end_call(self, instance, call_id, event):
        """Reports the end of a call to the owner, unless it is reported already."""
        if self._call_by_key.pop((instance, call_id), None) is not None:
            self._schedule_after(0.0, lambda: self._deliver(instance, "owner", event))


def make_cancellation(call_id):
    """Returns the event for the end of a call that was cancelled."""
    return events.CallFailed(call_id, data.Refusal.CANCELLED, True)


def make_reply(command):
    """Returns the event for a server's reply to a call."""
    number = int(command.server.service.removeprefix("s"))
    keys = data.KeyRange(number, number + 1)
    return events.CallReplied(
        command.call_id, SNAPSHOT, keys, (), (), False, f"p-{command.server.server_id}"
    )


def make_tables(load):
    """Returns tables with one route to one pool; each shard has three servers."""
    servers_by_service = {
        data.ServiceId(f"s{number:02d}"): tuple(
            data.Server(
                data.ServerId(f"s{number:02d}-{letter}"),
                data.ServiceId(f"s{number:02d}"),
                f"s{number:02d}-{letter}:1",
                ZONE,
                2,
                60,
                False,
            )
            for letter in "abc"
        )
        for number in range(load.shards)
    }
    pool = data.Pool(POOL, load.shards, servers_by_service, SNAPSHOT, "greatest-records")
    route = data.Route(
        ROUTE,
        data.Rank.URGENT,
        POOL,
        True,
        datetime.timedelta(seconds=1),
        0.9,
        load.ratio,
        goal=datetime.timedelta(milliseconds=100),
        attempts=load.calls_per_shard_max,
    )
    return data.Tables({ROUTE: route}, {POOL: pool})
