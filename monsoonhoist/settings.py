"""Settings of an instance, read from an INI file.

They include the addresses and the availability zone of the process. Options whose names end with
``_ms`` are durations in whole milliseconds.
"""

import datetime
import ipaddress
import resource
from typing import Annotated

import msgspec

from monsoonhoist import addresses
from monsoonhoist.core import data, scheduling
from monsoonhoist.fleet import watcher_selection
from monsoonhoist.kernels import kernel
from monsoonhoist.overload import budget, cold_quota, held_bytes, open_connections
from monsoonhoist.policy import pace, registry
from monsoonhoist.shards import kernel_config
from monsoonhoist.tables import ini

# Bounds of periods and timeouts that must not be 0.
_Period = ini.bounded_milliseconds(1, 3_600_000)


class InstanceSection(ini.Model):
    """``[instance]``: names and addresses of this process.

    The native dialect serves callers and operators on ``http_port``. Other instances connect to
    ``peer_port``. If the port is mapped to another one on the way, ``peer_listen_port`` is the
    port on which the process listens.

    The process may use the share ``cpu_share`` of a core, which is ``cpu_speed`` times as fast as
    a typical one. Instances with more capacity own more shards.

    The machine has ``memory_mb`` megabytes; 0 if that is not known. The process may open
    ``descriptors`` files and connections; 0 for the limit that the system states. What callers may
    hold follows from both.
    """

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]+$")]
    deployment: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]+$")]
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    host: ipaddress.IPv4Address
    http_port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    peer_port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    peer_listen_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    cpu_share: Annotated[float, msgspec.Meta(gt=0, le=1024)] = 1.0
    cpu_speed: Annotated[float, msgspec.Meta(gt=0, le=1024)] = 1.0
    memory_mb: Annotated[float, msgspec.Meta(ge=0, le=16_777_216)] = 0.0
    descriptors: Annotated[int, msgspec.Meta(ge=0, le=16_777_216)] = 0

    def _share_of_descriptors(self, share: float) -> int:
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = min(self.descriptors or soft_limit, soft_limit)
        return open_connections.share_of_descriptors(descriptors, share)

    def caller_connections_max(self) -> int:
        """Returns the most open connections of callers."""
        return self._share_of_descriptors(open_connections.CALLERS_SHARE)

    def idle_server_connections_max(self) -> int:
        """Returns the most idle connections to backend servers."""
        return self._share_of_descriptors(open_connections.SERVERS_SHARE)

    @property
    def capacity(self) -> float:
        """Processor time per second, in seconds on a core of typical speed."""
        return self.cpu_share * self.cpu_speed

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns an error if ``http_port`` and ``peer_port`` are the same."""
        if self.http_port == self.peer_port:
            return (ini.Problem("", "http_port and peer_port must differ"),)
        return ()


class PlatformSection(ini.Model):
    """``[platform]``: the platform's dialect and the addresses of its services.

    The native dialect has a configuration service and an instance list. The dialect
    ``platform`` has a store; ``seeds`` lists instances through which the others are discovered.
    """

    dialect: Annotated[str, msgspec.Meta(pattern=r"^(native|platform)$")] = "native"
    config_url: Annotated[str, msgspec.Meta(pattern=r"^(https?://.*)?$")] = ""
    instances_url: Annotated[str, msgspec.Meta(pattern=r"^(https?://.*)?$")] = ""
    store: str = ""
    seeds: Annotated[str, msgspec.Meta(pattern=r"^[0-9.:, ]*$")] = ""

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns an error for each address that is required and missing, or that is invalid."""
        needed = ("config_url", "instances_url") if self.dialect == "native" else ("store",)
        missing = tuple(
            ini.Problem(name, f"required with dialect = {self.dialect}")
            for name in needed
            if not getattr(self, name)
        )
        store_problem = addresses.find_problem(self.store) if self.store else None
        return missing + ((ini.Problem("store", store_problem),) if store_problem else ())

    def seed_hosts(self) -> tuple[str, ...]:
        """Returns the IP addresses of the seeds."""
        return tuple(seed.strip().split(":")[0] for seed in self.seeds.split(",") if seed.strip())


class ListenSection(ini.Model):
    """``[listen]``: addresses of the HTTP servers, ``host:port``; dialect ``platform`` only.

    Attributes:
        callers: Server for the requests of callers.
        ready: Server for the readiness checks of the load balancer.
        control: Server for operators, with the status and the metrics.
    """

    callers: str = ""
    ready: str = ""
    control: str = ""

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns an error for each invalid address."""
        return _find_address_problems(self)

    def missing(self) -> tuple[str, ...]:
        """Returns the names of the addresses that are not set."""
        return tuple(name for name in self.__struct_fields__ if not getattr(self, name))


class ExtraCallsSection(ini.Model):
    """``[extra_calls]``: budgets for calls beyond the first for each shard of a request.

    In each ``window_seconds``, all instances together may make ``allowance`` extra calls to a
    shard, in addition to ``ratio`` times the number of first calls. Hedges may use the
    allowance only with ``hedges_use_allowance``. In the native dialect, ``hedge_budget`` of each
    route replaces ``ratio``. With ``refusals_cost``, retries after refusals that ran nothing use
    the budget too.

    A call of a repeatable request is cancelled if its results are no longer needed: at once if the
    caller has left or another owner has taken over, otherwise once the call has run for
    ``finish_latencies`` times the route's median latency.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05
    allowance: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 40.0
    window_seconds: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 10.0
    refusals_cost: bool = False
    hedges_use_allowance: bool = False
    finish_latencies: Annotated[float, msgspec.Meta(ge=0, le=100)] = 0.0


class LimitsSection(ini.Model):
    """``[limits]``: limits of sizes and counts; anything beyond them is refused.

    Attributes:
        body_bytes: Largest body of a caller's request, where the tables have no limit.
        frame_bytes: Largest message from another instance.
        stream_buffer_bytes: Most bytes that may wait to be sent on a stream between instances; a
            stream with more is closed and opened again.
        response_bytes: Most bytes that the unfinished responses of backend servers, and long bodies
            sent to them, may hold, all together; the call with the most is ended if there are more.
        callers: Number of requests and calls in flight at which queries are refused; a request
            counts once in each task that holds it; native dialect only.
        results: Most results that a caller may request; native dialect only.
    """

    body_bytes: Annotated[int, msgspec.Meta(ge=256, le=16_777_216)] = 65_536
    frame_bytes: Annotated[int, msgspec.Meta(ge=65_536, le=67_108_864)] = 8_388_608
    stream_buffer_bytes: Annotated[int, msgspec.Meta(ge=65_536)] = 33_554_432
    response_bytes: Annotated[int, msgspec.Meta(ge=8_388_608)] = 67_108_864
    callers: Annotated[int, msgspec.Meta(ge=1)] = 10_000
    results: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1_000


class TimingSection(ini.Model):
    """``[timing]``: periods and timeouts, in milliseconds.

    Attributes:
        heartbeat_ms: Period of the heartbeats on a stream.
        silence_ms: Timeout for connecting to another instance and for acknowledgements of
            heartbeats, after which the stream is closed.
        backend_connect_ms: Timeout for connecting to a backend server.
        backend_idle_ms: Time after which an idle connection to a backend server is not reused.
        instances_poll_ms: Period of reading the instance list; native dialect only.
        watch_ms: Longest time that the configuration service may delay the reply to a watch.
        watch_settle_ms: Delay before a new watch, in which changes accumulate; dialect
            ``platform`` only.
        service_retry_ms: Delay after a failed read of the configuration service; it doubles with
            each consecutive failure, up to a maximum.
        balancer_lag_ms: Time for which a leaving instance still accepts requests, until the load
            balancer stops sending them.
        drain_max_ms: Longest time that a leaving instance then waits for requests in flight.
        pause_ms: Gap between ticks of the event loop that counts as a pause of the process.
        caller_body_ms: Timeout for receiving the body of a caller's request; native dialect only.
        caller_idle_ms: Time after which an idle connection of a caller is closed; dialect
            ``platform`` only.
        leaving_grace_ms: How long a server that the tables take out of service may still be
            called if no other server is available.
        hold_after_pause: Whether an instance is not ready after a pause until it has the newest
            tables again.
    """

    heartbeat_ms: _Period = datetime.timedelta(milliseconds=200)
    silence_ms: _Period = datetime.timedelta(milliseconds=800)
    backend_connect_ms: _Period = datetime.timedelta(milliseconds=150)
    backend_idle_ms: datetime.timedelta = datetime.timedelta(seconds=30)
    instances_poll_ms: _Period = datetime.timedelta(seconds=1)
    watch_ms: _Period = datetime.timedelta(seconds=10)
    watch_settle_ms: datetime.timedelta = datetime.timedelta(0)
    service_retry_ms: _Period = datetime.timedelta(milliseconds=500)
    balancer_lag_ms: datetime.timedelta = datetime.timedelta(seconds=2)
    drain_max_ms: datetime.timedelta = datetime.timedelta(seconds=60)
    pause_ms: _Period = datetime.timedelta(milliseconds=500)
    caller_body_ms: _Period = datetime.timedelta(seconds=5)
    caller_idle_ms: _Period = datetime.timedelta(seconds=75)
    leaving_grace_ms: datetime.timedelta = datetime.timedelta(0)
    hold_after_pause: bool = True

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns the errors in the combination of periods."""
        if self.silence_ms < 2 * self.heartbeat_ms:
            return (ini.Problem("", "silence_ms must be at least twice heartbeat_ms"),)
        return ()


class SpreadSection(ini.Model):
    """``[spread]``: streams between instances, and the watchers of the configuration service.

    Each instance keeps streams open to ``neighbours`` others, and to all instances of its cell.

    If ``watchers`` is not 0, it is the number of instances, in all zones together, that always
    watch. The next one in the order of watchers joins them if the latest read of the service by a
    peer is older than ``stale_ms``, and each one after it at an age larger by ``stale_step_ms``.
    If ``watchers`` is 0, ``watchers_per_zone`` instances watch in each zone.

    ``cell_size`` is the number of instances that share the calls to backend servers under the
    ownership policy ``cell``; 0 derives it from the tables and the number of live instances.
    ``first_start`` states that all instances start together and before there is traffic, so that
    only watchers need to read the service.

    With ``owners_when_ready``, an instance of a cell becomes the owner of shards only when it is
    ready: while it loads the tables, the other instances of its cell go on calling the servers.
    """

    neighbours: Annotated[int, msgspec.Meta(ge=2, le=64)] = 16
    watchers_per_zone: Annotated[int, msgspec.Meta(ge=1, le=8)] = 2
    watchers: Annotated[int, msgspec.Meta(ge=0, le=64)] = 0
    cell_size: Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0
    first_start: bool = False
    owners_when_ready: bool = False
    stale_ms: datetime.timedelta = datetime.timedelta(milliseconds=2000)
    stale_step_ms: datetime.timedelta = datetime.timedelta(milliseconds=300)

    def make_watcher_selection(
        self, instance: data.InstanceId, incarnation: data.Incarnation
    ) -> watcher_selection.WatcherSelection:
        """Returns the object that decides whether an instance watches the service."""
        stale_seconds = self.stale_ms.total_seconds()
        step_seconds = self.stale_step_ms.total_seconds()
        return watcher_selection.WatcherSelection(
            instance, self.watchers, stale_seconds, step_seconds, incarnation
        )


class SchedulingSection(ini.Model):
    """``[scheduling]``: mechanisms for heavy load, off by default; see ``scheduling.Options``."""

    goal_order: bool = False
    rank_slots: bool = False
    answer_timing: bool = False
    delivery_ms: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 12
    fair_admission: bool = False

    def options(self) -> scheduling.Options:
        """Returns the options of the kernels."""
        return scheduling.Options(**msgspec.structs.asdict(self))


class PolicySection(ini.Model):
    """``[policy]``: name of the policy to use, for each kind of policy."""

    ownership: str = "rendezvous"
    balance: str = "least-loaded"
    hedge: str = "quantile"
    admission: str = "window"
    order: str = "ranked"

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns an error for each name under which no policy is registered."""
        registry.load()
        return tuple(
            ini.Problem(name, f"unknown policy {getattr(self, name)!r}; known policies: {known}")
            for name in self.__struct_fields__
            if getattr(self, name) not in (registered := registry.names(registry.Kind(name)))
            for known in [", ".join(registered)]
        )

    @property
    def has_cells(self) -> bool:
        """Whether the calls to backend servers are shared within cells of instances."""
        return self.ownership == "cell"

    def names(self) -> kernel.PolicyNames:
        """Returns the names as the kernel's record."""
        return kernel.PolicyNames(**msgspec.structs.asdict(self))


class PaceSection(ini.Model):
    """``[pace]``: load of backend servers that start or recover.

    Attributes:
        slow_start: Whether a server that is new, is listed again, becomes cold or has failed
            receives a part of its usual load, which grows as its responses allow.
        cold_excess: Requests that a cold server can serve in a second, as a multiple of the rate
            that its service states.
        cold_slack: Requests that it can serve in addition.
    """

    slow_start: bool = False
    cold_excess: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1.0
    cold_slack: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 0.0


class Settings(ini.Model):
    """All settings of an instance, with one attribute for each section."""

    instance: InstanceSection
    platform: PlatformSection
    limits: LimitsSection = LimitsSection()
    timing: TimingSection = TimingSection()
    spread: SpreadSection = SpreadSection()
    policy: PolicySection = PolicySection()
    listen: ListenSection = ListenSection()
    extra_calls: ExtraCallsSection = ExtraCallsSection()
    pace: PaceSection = PaceSection()
    scheduling: SchedulingSection = SchedulingSection()

    def memory_shares(self) -> held_bytes.MemoryShares:
        """Returns the limits of the memory that callers and servers make the process hold."""
        return held_bytes.make_shares(self.instance.memory_mb, self.limits.response_bytes)

    def driver_limits(self) -> tuple[int, int]:
        """Returns the most bytes held for servers, and the most idle connections to them."""
        return self.memory_shares().servers, self.instance.idle_server_connections_max()

    def kernel_options(self) -> kernel_config.KernelOptions:
        """Returns the options of the instance's kernels."""
        section = self.extra_calls
        extra_calls = budget.BudgetOptions(
            allowance=section.allowance,
            window_seconds=section.window_seconds,
            refusals_cost=section.refusals_cost,
            hedges_use_allowance=section.hedges_use_allowance,
        )
        return kernel_config.KernelOptions(
            extra_calls,
            self.timing.leaving_grace_ms.total_seconds(),
            section.finish_latencies,
            pace.ResponsePace if self.pace.slow_start else None,
            cold_quota.ColdOptions(self.pace.cold_excess, self.pace.cold_slack),
            self.scheduling.options(),
            self.memory_shares().foreign_bodies,
        )


def _find_address_problems(section: ListenSection) -> tuple[ini.Problem, ...]:
    """Returns an error for each address that is set and invalid."""
    problem_by_name = {
        name: addresses.find_problem(getattr(section, name))
        for name in section.__struct_fields__
        if getattr(section, name)
    }
    return tuple(ini.Problem(name, problem) for name, problem in problem_by_name.items() if problem)
