"""The kernels of a cell's instances, joined by streams and servers that a seed decides.

Nothing here does I/O: a queue of actions on a clock of its own takes the place of the event
loop, of the streams, which delay and lose messages, and of the servers, which are slow,
refuse, or lose answers.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random

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
)

POOL = data.PoolId("set/1")
ROUTE = data.RouteId("r")
VERSION = data.Snapshot(1)
ZONE = data.ZoneId("z")
POLICIES = kernel.PolicyNames(
    ownership="cell", balance="expected-latency", hedge="recent-quantile", admission="all"
)
TICK_SECONDS = 1e-6


@dataclasses.dataclass(frozen=True)
class Load:
    """What a bench plays; times are in seconds.

    Attributes:
        members: Instances of the cell.
        shards: Shards of the pool.
        queries: Queries that callers send.
        gap: Mean time between two queries.
        attempts: Attempts of the route.
        slow_share: Share of the servers that are ten times slower than the others.
        lost_share: Share of the calls whose answer is lost.
        refused_share: Share of the calls that are refused and run nothing.
        stall_share: Share of the queries at which some instance begins to stand still.
        cut_share: Share of the queries at which a stream ends.
        allowance: Extra calls that all instances together may make to a shard in a window.
        ratio: The same, as a share of the first calls.
    """

    members: int = 5
    shards: int = 12
    queries: int = 150
    gap: float = 0.04
    attempts: int = 2
    slow_share: float = 0.2
    lost_share: float = 0.03
    refused_share: float = 0.02
    stall_share: float = 0.25
    cut_share: float = 0.1
    allowance: float = 220.0
    ratio: float = 0.2


class CellBench:
    """A cell under load.

    Attributes:
        arrivals_by_service: Times of all calls that reached a shard's servers.
        queries_by_service: Times of the queries sent to a shard.
        ran_by_work: Servers that ran the work of a query for a shard.
        answers: Answers given.
    """

    def __init__(self, seed: int, load: Load):
        self.load = load
        self.random = random.Random(seed)
        self.clock = clock.ManualClock(100.0)
        self.names = tuple(data.InstanceId(f"i-{number}") for number in range(load.members))
        self.arrivals_by_service = collections.defaultdict(list)
        self.queries_by_service = collections.defaultdict(list)
        self.ran_by_work = collections.defaultdict(set)
        self.answers = []
        self._queue = []
        self._order = itertools.count()
        self._free_at_by_pair = collections.defaultdict(float)
        self._epoch_by_pair = collections.Counter()
        self._still_until = collections.defaultdict(float)
        self._call_by_key = {}
        self._wake_by_key = {}
        self._tables = make_tables(load)
        self._slow = {
            server.server_id
            for servers in self._tables.pool_by_id[POOL].servers_by_service.values()
            for server in servers
            if self.random.random() < load.slow_share
        }
        extra_calls = budget.BudgetOptions(
            allowance=load.allowance, refusals_cost=True, hedges_use_allowance=True
        )
        settings = owner_config.OwnerOptions(extra_calls, finish_latencies=4.0)
        self._kernel_by_name = {
            name: kernel.make_kernel(name, ZONE, self.clock, POLICIES, settings)
            for name in self.names
        }
        for name in self.names:
            self.tell_view(name, self.names)

    def tell_view(self, name, instances, cells=1):
        """Tells an instance which others it sees."""
        view = events.ViewChanged(self._tables, instances, instances, cells)
        self._handle(name, "entry", view)
        self._handle(name, "owner", view)

    def run(self):
        """Plays all queries to their end."""
        at = self.clock.now_seconds
        for number in range(self.load.queries):
            at += self.random.expovariate(1.0 / self.load.gap)
            self._at(at, lambda number=number: self._ask(number))
            if self.random.random() < self.load.stall_share:
                self._at(at, self._stall)
            if self.random.random() < self.load.cut_share:
                self._at(at + self.random.uniform(0.0, 0.1), self._cut)
        while self._queue:
            when, _, action = heapq.heappop(self._queue)
            self.clock.now_seconds = max(self.clock.now_seconds, when)
            action()

    def most_servers(self):
        """Returns the most servers of a shard that ran the work of one query."""
        return max(len(servers) for servers in self.ran_by_work.values())

    def _at(self, when, action):
        heapq.heappush(self._queue, (when, next(self._order), action))

    def _after(self, seconds, action):
        self._at(self.clock.now_seconds + seconds, action)

    def _ask(self, number):
        """Sends a query to an instance."""
        query_id = data.QueryId(f"q-{number}")
        content = exchange.HttpRequest("GET", "/", (), b"")
        question = exchange.Question(f"r-{number}", content, 1000, is_clamped=True)
        for service in self._tables.pool_by_id[POOL].servers_by_service:
            self.queries_by_service[service].append(self.clock.now_seconds)
        name = self.random.choice(self.names)
        self._deliver(name, "entry", events.QueryArrived(query_id, ROUTE, question))

    def _stall(self):
        """Lets an instance stand still for a while, with its messages and timers."""
        name = self.random.choice(self.names)
        ends = self.clock.now_seconds + self.random.choice((0.02, 0.05, 0.08, 0.3))
        self._still_until[name] = max(self._still_until[name], ends)

    def _cut(self):
        """Ends the stream from one instance to another; what is on the way is lost."""
        source, target = self.random.sample(self.names, 2)
        self._epoch_by_pair[source, target] += 1
        self._deliver(source, "entry", events.PeerLost(target))

    def _deliver(self, name, role, event):
        """Lets an instance handle an event as soon as it does not stand still."""
        until = self._still_until[name]
        if until > self.clock.now_seconds:
            self._at(until, lambda: self._deliver(name, role, event))
        else:
            self._handle(name, role, event)

    def _handle(self, name, role, event):
        """Lets a kernel handle an event and carries out its commands."""
        part = getattr(self._kernel_by_name[name], role)
        for command in part.handle(event):
            match command:
                case events.SendMessage():
                    self._send(name, command.instance, command.message)
                case events.StartCall():
                    self._call(name, command)
                case events.CancelCall():
                    self._end_call(name, command.call_id, cancelled(command.call_id))
                case events.Respond():
                    self.answers.append(command.answer)
        self._set_wake(name, role, part.next_wake())

    def _set_wake(self, name, role, wake):
        """Lets a kernel act when it wants to."""
        if wake is None or self._wake_by_key.get((name, role)) == wake:
            return
        self._wake_by_key[name, role] = wake

        def reach():
            if self._wake_by_key.get((name, role)) == wake:
                del self._wake_by_key[name, role]
                self._deliver(name, role, events.TimeReached())

        self._at(max(wake, self.clock.now_seconds + TICK_SECONDS), reach)

    def _send(self, source, target, message):
        """Sends a message, in order with the others of its stream."""
        pair = (source, target)
        epoch = self._epoch_by_pair[pair]
        delay = 0.0 if source == target else self.random.choice((0.001, 0.001, 0.002, 0.012))
        at = max(self.clock.now_seconds + delay, self._free_at_by_pair[pair])
        self._free_at_by_pair[pair] = at

        def arrive():
            if epoch == self._epoch_by_pair[pair]:
                self._take(target, source, message)

        self._at(at, arrive)

    def _take(self, name, sender, message):
        """Lets an instance take a message as soon as it does not stand still."""
        until = self._still_until[name]
        if until > self.clock.now_seconds:
            self._at(until, lambda: self._take(name, sender, message))
            return
        if isinstance(message, messages.SubBatch | messages.BatchCheck) and sender != name:
            query_id = message.query.query_id if isinstance(message, messages.SubBatch) else None
            self._send(name, sender, messages.BatchTaken(query_id or message.query_id))
        event = message_events.to_entry_event(sender, message)
        if event is not None:
            self._handle(name, "entry", event)
        event = message_events.to_owner_event(message)
        if event is not None:
            self._handle(name, "owner", event)

    def _call(self, name, command):
        """Plays a call to a server."""
        server = command.server
        self.arrivals_by_service[server.service].append(self.clock.now_seconds)
        luck = self.random.random()
        key = (name, command.call_id)
        self._call_by_key[key] = command
        if luck < self.load.refused_share:
            event = events.CallFailed(command.call_id, data.Refusal.SHED, False)
            self._after(0.002, lambda: self._end_call(name, command.call_id, event))
            return
        self.ran_by_work[command.query.query_id, server.service].add(server.server_id)
        seconds = self.random.uniform(0.006, 0.02) * (10 if server.server_id in self._slow else 1)
        if luck < self.load.refused_share + self.load.lost_share:
            event = events.CallFailed(command.call_id, data.Refusal.CONNECTION_LOST, True)
        else:
            event = answered(command)
        self._after(seconds, lambda: self._end_call(name, command.call_id, event))

    def _end_call(self, name, call_id, event):
        """Tells the owner of the end of a call, once."""
        if self._call_by_key.pop((name, call_id), None) is not None:
            self._after(0.0, lambda: self._deliver(name, "owner", event))


def cancelled(call_id):
    """Returns the end of a call that was cancelled."""
    return events.CallFailed(call_id, data.Refusal.CANCELLED, True)


def answered(command):
    """Returns a server's answer."""
    number = int(command.server.service.removeprefix("s"))
    keys = data.KeyRange(number, number + 1)
    return events.CallReplied(
        command.call_id, VERSION, keys, (), (), False, f"p-{command.server.server_id}"
    )


def make_tables(load):
    """Returns tables with one route to one pool of shards with three servers each."""
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
    pool = data.Pool(POOL, load.shards, servers_by_service, VERSION, "greatest-records")
    route = data.Route(
        ROUTE,
        data.Rank.URGENT,
        POOL,
        True,
        datetime.timedelta(seconds=1),
        0.9,
        load.ratio,
        goal=datetime.timedelta(milliseconds=100),
        attempts=load.attempts,
    )
    return data.Tables({ROUTE: route}, {POOL: pool})
