"""Steps that test the rate limit of cold servers with the owners of several instances."""

import bisect
import heapq
import itertools
import random

import msgspec
from behave import given, then, when

from monsoonhoist import settings_file
from monsoonhoist.core import clock, data, exchange
from monsoonhoist.fleet import known_instances
from monsoonhoist.kernels import kernel
from monsoonhoist.overload import cold_quota
from monsoonhoist.protocol import events, fanout, messages
from monsoonhoist.shards import kernel_config
from standins import fleet

POLICIES = kernel.PolicyNames(ownership="cell", balance="expected-latency", hedge="none")
OPTIONS = kernel_config.KernelOptions(cold=cold_quota.ColdOptions(1.5, 5.0))
POOL = data.PoolId("p")
SERVICE = data.ServiceId("s")
START_SECONDS = 100.0
WORK_SECONDS = 0.01
# Requests take up to this long to arrive.
LINK_MAX_SECONDS = 0.15
REMAINING_MS = 500


class ColdFleet:
    """Instances that call the servers "a", "b" and "c" of one shard.

    Args:
        count: Number of instances.
        size: Number of instances in a cell.
        rate: Requests per second that the service states for a cold server.
        warm_up_seconds: Warm-up that the service states.
    """

    def __init__(self, count, size, rate, warm_up_seconds=0.0):
        self.clock = clock.ManualClock(START_SECONDS)
        self.size = size
        self.pool = POOL
        self.service = SERVICE
        self.servers = {
            name: data.Server(
                data.ServerId(name),
                SERVICE,
                f"{name}:1",
                data.ZoneId("z"),
                50,
                5000,
                False,
                incarnation=1,
                warm_up_seconds=warm_up_seconds,
                warm_up_rate=rate,
                cold_ms=0,
            )
            for name in "abc"
        }
        self.owner_by_instance = {}
        self.known_by_instance = {}
        self.live_by_instance = {}
        self.size_by_instance = {}
        self.arrivals = {name: [] for name in "abc"}
        self.refused_after = []
        self._actions = []
        self._sequence = itertools.count()
        self._rng = random.Random(5)
        names = [data.InstanceId(f"i{number:02d}") for number in range(count)]
        for name in names:
            self.add(name, names)
        self.publish()
        self.advance(START_SECONDS + 5.0)

    def add(self, name, known):
        """Starts an instance that knows some instances."""
        kernels = kernel.make_kernel(name, data.ZoneId("z"), self.clock, POLICIES, OPTIONS)
        self.owner_by_instance[name] = kernels.owner
        self.known_by_instance[name] = tuple(known)
        self.live_by_instance[name] = tuple(known)
        self.size_by_instance[name] = self.size

    def publish(self, instances=None):
        """Passes the present tables and instances to the owners."""
        servers_by_service = {self.service: tuple(self.servers.values())}
        pool = data.Pool(self.pool, 1, servers_by_service, data.Snapshot(1))
        for name in instances or self.owner_by_instance:
            live = self.live_by_instance[name]
            cell_count = max(1, len(live) // self.size_by_instance[name])
            cell = live[live.index(name) % cell_count :: cell_count]
            view = events.ViewChanged(
                data.Tables({}, {self.pool: pool}),
                live,
                cell,
                cell_count,
                known_instances=self.known_by_instance[name],
            )
            self.handle(name, view)

    def change(self, name, **fields):
        """Changes the listed record of a server."""
        self.servers[name] = msgspec.structs.replace(self.servers[name], **fields)
        self.publish()

    def load(self, per_second, seconds):
        """Sends queries to all instances at their owners, and advances the clock."""
        end = self.clock.now_seconds + seconds
        for name in self.owner_by_instance:
            at = self.clock.now_seconds
            while (at := at + self._rng.expovariate(per_second)) < end:
                self.schedule(at, lambda name=name: self.send(name))
        self.advance(end)

    def send(self, name):
        """Sends a query to the owner in the cell of an instance."""
        live = self.live_by_instance[name]
        cell_count = max(1, len(live) // self.size_by_instance[name])
        cell = live[live.index(name) % cell_count :: cell_count]
        policy = self.owner_by_instance[name]._policies.ownership
        target = policy.owners(self.pool, self.service, cell)[0]
        query_id = data.QueryId(f"{name}.{next(self._sequence)}")
        content = exchange.HttpRequest("GET", "/", (), b"")
        spec = fanout.QuerySpec(
            query_id, "r", self.pool, data.Rank.URGENT, content, 1, REMAINING_MS, 0.0, True, 2
        )
        batch = messages.SubBatch(name, spec, data.Snapshot(1), 1, (self.service,))
        self.started_at = self.clock.now_seconds
        self.handle(target, events.BatchArrived(batch))

    def schedule(self, at, action):
        """Schedules an action."""
        heapq.heappush(self._actions, (at, next(self._sequence), action))

    def handle(self, name, event):
        """Passes an event to an owner and executes the resulting commands."""
        owner = self.owner_by_instance[name]
        now = self.clock.now_seconds
        for command in owner.handle(event):
            if isinstance(command, events.StartCall):
                arrival_at = now + self._rng.uniform(0.0, LINK_MAX_SECONDS)
                self.arrivals[command.server.server_id].append(arrival_at)
                keys = data.KeyRange(0, 1)
                reply = events.CallReplied(command.call_id, data.Snapshot(1), keys, (), (), False)
                self.schedule(arrival_at + WORK_SECONDS, lambda r=reply: self.handle(name, r))
            elif isinstance(command, events.SendMessage) and command.message.failures:
                is_new = isinstance(event, events.BatchArrived)
                self.refused_after.append(now - self.started_at if is_new else 1.0)
        wake = owner.next_wake()
        if wake is not None:
            self.schedule(wake, lambda: self.wake(name, wake))

    def wake(self, name, at):
        """Passes ``TimeReached`` to an owner, if it is still due."""
        if self.owner_by_instance[name].next_wake() == at:
            self.handle(name, events.TimeReached())

    def advance(self, until):
        """Advances the clock and runs the actions that are due."""
        while self._actions and self._actions[0][0] <= until:
            at, _, action = heapq.heappop(self._actions)
            self.clock.now_seconds = max(self.clock.now_seconds, at)
            action()
        self.clock.now_seconds = until

    def cold_seconds(self, name):
        """Returns how long the first instance believes that a server stays cold."""
        owner = next(iter(self.owner_by_instance.values()))
        state = owner._shards.cold.find(self.servers[name])
        return max(0.0, state.quota.cold_until - self.clock.now_seconds) if state else 0.0


@given(
    "{count:d} instances in cells of {size:d}"
    " and servers that bear {rate:d} requests per second when cold"
)
def make_fleet(context, count, size, rate):
    """Starts the instances."""
    context.cold_fleet = ColdFleet(count, size, rate)


@given(
    "one instance and servers that bear {rate:d} requests per second when cold for {seconds:d} s"
)
def make_one(context, rate, seconds):
    """Starts one instance; the service states a warm-up."""
    context.cold_fleet = ColdFleet(1, 1, rate, seconds)


@when('server "a" becomes cold for {seconds:d} s')
def make_cold(context, seconds):
    """Lists a server with a later report."""
    context.cold_fleet.change("a", cold_ms=seconds * 1000)
    context.cold_fleet.arrivals["a"].clear()


@when("all servers become cold for {seconds:d} s")
def make_all_cold(context, seconds):
    """Lists all servers with a later report."""
    for name in "abc":
        context.cold_fleet.change(name, cold_ms=seconds * 1000)


@when("each instance receives {per_second:d} queries per second for {seconds:d} s")
def run_load(context, per_second, seconds):
    """Sends queries."""
    context.cold_fleet.load(per_second, seconds)


@when("the instances are cut into two halves")
def cut(context):
    """Passes views in which only the instances of the same half are live."""
    fleet = context.cold_fleet
    names = sorted(fleet.owner_by_instance)
    for name in names:
        half = names[::2] if name in names[::2] else names[1::2]
        fleet.live_by_instance[name] = tuple(half)
    fleet.publish()


@when("the cells become cells of {size:d}, at one instance after the other within 1 s")
def change_cells(context, size):
    """Schedules views with other cells while queries arrive."""
    fleet = context.cold_fleet
    for number, name in enumerate(fleet.owner_by_instance):

        def change(name=name):
            fleet.size_by_instance[name] = size
            fleet.publish([name])

        fleet.schedule(fleet.clock.now_seconds + number / len(fleet.owner_by_instance), change)


@when("another instance starts that first knows itself and after {seconds:d} s all others")
def start_instance(context, seconds):
    """Starts an instance, which all others know at once."""
    fleet = context.cold_fleet
    name = data.InstanceId("i99")
    names = (*sorted(fleet.owner_by_instance), name)
    fleet.add(name, (name,))
    for other in names[:-1]:
        fleet.known_by_instance[other] = fleet.live_by_instance[other] = names
    fleet.publish()

    def learn():
        fleet.known_by_instance[name] = fleet.live_by_instance[name] = names
        fleet.publish([name])

    fleet.schedule(fleet.clock.now_seconds + seconds, learn)


@when("the shard is replaced by one of other servers, which are cold for {seconds:d} s")
def replace_shard(context, seconds):
    """Lists another pool with one shard of servers that have just started."""
    fleet_state = context.cold_fleet
    fleet_state.pool = data.PoolId("p2")
    fleet_state.service = data.ServiceId("s2")
    fleet_state.servers = {
        name: msgspec.structs.replace(
            server,
            server_id=data.ServerId(name),
            service=fleet_state.service,
            address=f"{name}:1",
            cold_ms=seconds * 1000,
        )
        for name, server in zip("def", fleet_state.servers.values(), strict=True)
    }
    fleet_state.arrivals.update({name: [] for name in "def"})
    fleet_state.publish()


@when("{count:d} further instances become known to the others, one each second")
def join(context, count):
    """Schedules views with one more known instance, which sends nothing itself yet."""
    fleet_state = context.cold_fleet
    names = tuple(sorted(fleet_state.owner_by_instance))
    for number in range(1, count + 1):
        known = (*names, *(data.InstanceId(f"j{joined}") for joined in range(number)))

        def learn(known=known):
            for name in names:
                fleet_state.known_by_instance[name] = known
            fleet_state.publish()

        fleet_state.schedule(fleet_state.clock.now_seconds + number, learn)


@when("nothing happens")
def do_nothing(context):
    """Changes nothing."""


@when('the item of "a" says {ms:d} ms')
def report_item(context, ms):
    """Lists a server with another report."""
    context.cold_fleet.change("a", cold_ms=ms)


@when('a response of "a" says {ms:d} ms')
def report_response(context, ms):
    """Passes the report of a health check to the owner."""
    fleet = context.cold_fleet
    report = exchange.ServerReport(cold_ms=ms)
    fleet.handle(data.InstanceId("i00"), events.ServerReported(fleet.servers["a"], report))


@when('the item of "a" says {ms:d} ms, then a response {later_ms:d} ms')
def report_both(context, ms, later_ms):
    """Reports twice."""
    report_item(context, ms)
    report_response(context, later_ms)


@when('the item of "a" says {ms:d} ms and is written once more')
def write_again(context, ms):
    """Lists a server again with the same report; the time since then is no new report."""
    report_item(context, ms)
    report_item(context, ms)


@when('server "a" has started again and says nothing')
def start_again(context):
    """Lists a server with another incarnation and no report."""
    context.cold_fleet.change("a", incarnation=2, cold_ms=None)


@when('server "a" has started again and says {ms:d} ms')
def start_again_cold(context, ms):
    """Lists a server with another incarnation and a report."""
    context.cold_fleet.change("a", incarnation=2, cold_ms=ms)


@when('server "a" is listed anew and says nothing')
def list_anew(context):
    """Removes a server from the tables and lists it again without a report."""
    server = context.cold_fleet.servers.pop("a")
    context.cold_fleet.publish()
    context.cold_fleet.servers["a"] = msgspec.structs.replace(server, cold_ms=None)
    context.cold_fleet.publish()


@when("the service states {rate:d} requests per second")
def change_rate(context, rate):
    """Lists all servers with another rate."""
    fleet_of_one = context.cold_fleet
    for name in "abc":
        fleet_of_one.change(name, warm_up_rate=rate)


@when("the table lists no server")
def list_none(context):
    """Removes all servers from the tables."""
    context.cold_fleet.servers.clear()
    context.cold_fleet.publish()


@then("no server that is cold receives more than {most:d} requests in any second")
def check_rate(context, most):
    """Checks each second that begins with the arrival of a request at a cold server."""
    for name, server in context.cold_fleet.servers.items():
        times = sorted(context.cold_fleet.arrivals[name]) if server.cold_ms else []
        counts = [bisect.bisect_left(times, at + 1.0) - start for start, at in enumerate(times)]
        assert max(counts, default=0) <= most, (name, max(counts))


@then('server "{name}" receives at least {least:d} requests')
def check_least(context, name, least):
    """Checks that a cold server is used."""
    assert len(context.cold_fleet.arrivals[name]) >= least, len(context.cold_fleet.arrivals[name])


@then("each server receives at least {least:d} requests")
def check_each(context, least):
    """Checks that all cold servers are used."""
    for name in "abc":
        check_least(context, name, least)


@then("no query is refused")
def check_none_refused(context):
    """Checks that the warm servers took the other queries."""
    assert not context.cold_fleet.refused_after, len(context.cold_fleet.refused_after)


@then("some queries are refused, each within {ms:d} ms")
def check_refused(context, ms):
    """Checks that queries that cannot be served do not wait for their deadlines."""
    refused_after = context.cold_fleet.refused_after
    assert refused_after and max(refused_after) <= ms / 1000, (len(refused_after), refused_after)


@then('server "a" is cold for {seconds:g} s')
def check_cold(context, seconds):
    """Checks the remaining warm-up."""
    assert abs(context.cold_fleet.cold_seconds("a") - seconds) < 1e-6


@then('{allowed:d} of {count:d} health checks of "a" may be sent at once')
def check_health_checks(context, allowed, count):
    """Checks how many health checks the quota allows."""
    fleet = context.cold_fleet
    owner = fleet.owner_by_instance[data.InstanceId("i00")]
    assert sum(owner.reports.may_check(fleet.servers["a"]) for _ in range(count)) == allowed


@when("the template is filled in with {values}")
def fill_in_template(context, values):
    """Parses the template of settings with values of the platform."""
    pairs = [pair.split("=") for pair in values.split(" and ") if "=" in pair]
    context.parsed, findings = settings_file.parse("x", fleet.settings_text(1, 1, dict(pairs)))
    assert not findings, findings


@then("a cold server of {rate:d} requests per second bears {requests:d} requests in a second")
def check_bounds(context, rate, requests):
    """Checks the options of the kernel."""
    assert context.parsed.kernel_options().cold.requests_max(rate) == requests


@then("the state of {count:d} servers is kept")
def check_count(context, count):
    """Checks the number of servers of which something is known."""
    owner = context.cold_fleet.owner_by_instance[data.InstanceId("i00")]
    assert len(owner._shards.cold) == count


@given('the instances "{names}" are known at {first:d} s and "{later_names}" at {later:d} s')
def record_known(context, names, first, later_names, later):
    """Records instances twice."""
    context.known_clock = clock.ManualClock(float(first))
    context.known = known_instances.KnownInstances(context.known_clock, 600.0)
    context.known.update(names.split(", "))
    context.known_clock.now_seconds = float(later)
    context.known.update(later_names.split(", "))


@then('"{names}" are remembered at {first:d} s and "{later_names}" at {later:d} s')
def check_known(context, names, first, later_names, later):
    """Checks what is remembered while only the first instance is known."""
    for expected, at in ((names, first), (later_names, later)):
        context.known_clock.now_seconds = float(at)
        assert context.known.update(["a"]) == tuple(expected.split(", "))
