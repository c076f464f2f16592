"""A deployment with proxies between its processes, which injects the faults of a plan."""

import asyncio
import dataclasses
import signal
import time
from collections.abc import Callable

from soak import plan, proxy
from standins import fleet, store

# The store's proxy for instance N listens on this port plus N, and the proxy of a backend server on
# the server's port plus the offset. Instances listen for streams on PEER_LISTEN_PORT, and their
# proxies on ``fleet.PEER_PORT``.
STORE_PROXY_PORT = fleet.PORT_BASE + 600
SERVER_PROXY_OFFSET = 300
PEER_LISTEN_PORT = fleet.PEER_PORT + 1
PROXY_HOST = "127.0.2.1"
# Time after SIGTERM within which an instance must end.
STOP_GRACE_SECONDS = 6.0
# Time after which a server that is registered as draining must receive no more requests.
DRAIN_LIMIT_SECONDS = 3.0
SLOW_WORK_SECONDS = 1.2
# Sets of shards of the gathered route, between which a reshard switches.
SHARD_SETS = (fleet.SHARDS, ("epsilon", "zeta", "alpha"))
# Number of consecutive versions, including its own, that contain the route added by a version.
ROUTE_LIFETIME_VERSIONS = 2
# Targets of disturbances of the store or of a connection to it, and of streams between instances.
STORE = "store"
LINKS = "links"
# Target of disturbances during which the soak process itself was not scheduled, so that its proxies
# relayed nothing.
STALL = "stall"
STALL_MIN_SECONDS = 0.2
STALL_CHECK_SECONDS = 0.05
# Pause before a write is sent again that the store refused because it was away.
WRITE_RETRY_SECONDS = 0.05


@dataclasses.dataclass
class Disturbance:
    """A period in which something was disturbed; times are monotonic seconds.

    Attributes:
        target: What was disturbed: ``instance N``, ``restart N``, ``server NAME``, ``STORE``,
            ``LINKS`` or ``STALL``.
        start: Start of the period.
        end: End of the period; infinite while it lasts.
    """

    target: str
    start: float
    end: float = float("inf")


@dataclasses.dataclass
class PublishedVersion:
    """A published version of the configuration.

    Attributes:
        number: Number of the version, from 0, and of the route that it adds.
        published_at: Time at which the store had accepted it first, in monotonic seconds.
        gathered_shards: Shards of the gathered route.
        revision: Revision that the store acknowledged last.
        acknowledgements: Times at which the store had accepted it, and lost it again.
    """

    number: int
    published_at: float
    gathered_shards: frozenset[str]
    revision: int
    acknowledgements: list["Acknowledgement"]


@dataclasses.dataclass
class Acknowledgement:
    """A period in which the store has a write that it acknowledged at its start.

    ``end`` is infinite unless the store lost the write by coming back from an older copy.
    """

    start: float
    end: float = float("inf")


@dataclasses.dataclass
class DrainedServer:
    """A server that was registered as draining or removed; ``end`` is infinite while it is."""

    server: str
    start: float
    end: float = float("inf")


class ProxiedFleet(fleet.Fleet):
    """A deployment whose connections pass through proxies.

    Args:
        fault_plan: The plan, which gives the number of instances and the size of a cell.

    Attributes:
        disturbances: Periods in which something was disturbed.
        versions: Published versions of the configuration, in order.
        drained_servers: Servers that were registered as draining.
        start_times_by_instance: Start times of the processes of each instance.
        sigterm_times_by_instance: Times of SIGTERM to each instance.
        drain_by_server: Entries of ``drained_servers`` that have not ended, by server.
        overdue_instances: Instances that did not end within the grace period after SIGTERM.
    """

    def __init__(self, fault_plan: plan.Plan):
        super().__init__(fault_plan.cell_size, fault_plan.instances)
        self.disturbances: list[Disturbance] = []
        self.versions: list[PublishedVersion] = []
        self.drained_servers: list[DrainedServer] = []
        self.drain_by_server: dict[str, DrainedServer] = {}
        self._drained_services: set[str] = set()
        self.start_times_by_instance: dict[int, list[float]] = {}
        self.sigterm_times_by_instance: dict[int, list[float]] = {}
        self.overdue_instances: list[str] = []
        self._peer_proxy_by_instance: dict[int, proxy.Proxy] = {}
        self._store_proxy_by_instance: dict[int, proxy.Proxy] = {}
        self._server_proxy_by_name: dict[str, proxy.Proxy] = {}
        self._lock_by_instance: dict[int, asyncio.Lock] = {}
        self._shard_set_index = 0

    async def _start_stand_ins(self) -> None:
        await super()._start_stand_ins()
        for number in range(1, self.instances + 1):
            store_host, store_port = fleet.STORE_ADDRESS
            store_proxy = proxy.Proxy(f"{store_host}:{store_port}")
            await store_proxy.start(PROXY_HOST, STORE_PROXY_PORT + number)
            self._store_proxy_by_instance[number] = store_proxy
            peer_proxy = proxy.Proxy(f"127.0.1.{number}:{PEER_LISTEN_PORT}")
            await peer_proxy.start(f"127.0.1.{number}", fleet.PEER_PORT)
            self._peer_proxy_by_instance[number] = peer_proxy
        for name, server in self.server_by_name.items():
            server_proxy = proxy.Proxy(server.address)
            host, _, port = self.address_of(name).rpartition(":")
            await server_proxy.start(host, int(port))
            self._server_proxy_by_name[name] = server_proxy

    async def _close_connections(self) -> None:
        proxy_groups = (
            self._peer_proxy_by_instance,
            self._store_proxy_by_instance,
            self._server_proxy_by_name,
        )
        for running_proxy in (member for group in proxy_groups for member in group.values()):
            await running_proxy.close()
        await super()._close_connections()

    def address_of(self, name: str) -> str:
        """Returns the address of the proxy of a server."""
        host, _, port = self.server_by_name[name].address.rpartition(":")
        return f"{host}:{int(port) + SERVER_PROXY_OFFSET}"

    def settings_of(self, number: int) -> str:
        """Returns the settings of an instance, with the addresses of the proxies."""
        store = f"{PROXY_HOST}:{STORE_PROXY_PORT + number}"
        text = fleet.settings_text(number, self.cell_size, {"platform.Addr": store})
        return text.replace("[instance]\n", f"[instance]\npeer_listen_port = {PEER_LISTEN_PORT}\n")

    def start_instance(self, number: int) -> None:
        """Starts an instance and records the time."""
        super().start_instance(number)
        self.start_times_by_instance.setdefault(number, []).append(time.monotonic())

    def publish_next(self, changes_shards: bool = False) -> None:
        """Publishes a version that adds a route and removes the oldest one.

        Args:
            changes_shards: Whether the gathered route moves to the next set of shards.
        """
        shard_set_index = (self._shard_set_index + changes_shards) % len(SHARD_SETS)
        number = len(self.versions)
        route_numbers = range(max(0, number - ROUTE_LIFETIME_VERSIONS + 1), number + 1)
        extra = tuple(
            fleet.make_plain_route(f"v{n}", f"/v{n}/", "idempotent", 1) for n in route_numbers
        )
        gathered = SHARD_SETS[shard_set_index]
        self.publish(gathered, extra)
        now = time.monotonic()
        revision = self.written_by_key[fleet.CONFIG_KEY].revision
        self.versions.append(
            PublishedVersion(number, now, frozenset(gathered), revision, [Acknowledgement(now)])
        )
        self._shard_set_index = shard_set_index

    async def inject_fault(self, fault: plan.Fault) -> None:
        """Injects a fault, waits for its end and removes it."""
        match fault.kind:
            case plan.FaultKind.KILL | plan.FaultKind.STOP | plan.FaultKind.RESTART:
                await self._inject_process_fault(fault)
            case plan.FaultKind.RELOAD:
                self._send_signal(fault.instance, signal.SIGHUP)
            case plan.FaultKind.KILL_ALL:
                await self._kill_all(fault)
            case plan.FaultKind.EDIT:
                await self.write(self.publish_next)
            case plan.FaultKind.RESHARD:
                await self.write(lambda: self.publish_next(changes_shards=True))
            case plan.FaultKind.DRAIN:
                await self._drain_server(fault)
            case plan.FaultKind.SERVER:
                await self._inject_server_fault(fault)
            case plan.FaultKind.SLOW:
                await self._slow_server(fault)
            case plan.FaultKind.STORE:
                await self._inject_store_fault(fault)
            case _:
                await self._inject_link_fault(fault)

    async def write(self, write: Callable[[], None]) -> None:
        """Writes to the store, again and again while it is away."""
        while True:
            try:
                write()
            except store.StoreAwayError:
                await asyncio.sleep(WRITE_RETRY_SECONDS)
            else:
                return

    def _send_signal(self, number: int, signal_number: signal.Signals) -> None:
        process = self.process_by_number[number]
        if process.poll() is None:
            process.send_signal(signal_number)

    async def _inject_process_fault(self, fault: plan.Fault) -> None:
        lock = self._lock_by_instance.setdefault(fault.instance, asyncio.Lock())
        async with lock:
            if fault.kind is plan.FaultKind.RESTART:
                await self._restart(fault.instance)
                return
            disturbance = self.record_disturbance(f"instance {fault.instance}")
            is_kill = fault.kind is plan.FaultKind.KILL
            self._send_signal(fault.instance, signal.SIGKILL if is_kill else signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            if is_kill:
                self._restart_exited(fault.instance)
            else:
                self._send_signal(fault.instance, signal.SIGCONT)
            disturbance.end = time.monotonic()

    async def _restart(self, number: int) -> None:
        """Stops an instance gracefully, or by SIGKILL after the grace period, and restarts it."""
        self.sigterm_times_by_instance.setdefault(number, []).append(time.monotonic())
        disturbance = self.record_disturbance(f"restart {number}")
        process = self.process_by_number[number]
        self._send_signal(number, signal.SIGTERM)
        start = time.monotonic()
        while process.poll() is None and time.monotonic() < start + STOP_GRACE_SECONDS:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
            # Without prefixes of targets, only stalls of the soak itself count.
            if not self.is_disturbed((), start, time.monotonic()):
                self.overdue_instances.append(f"instance {number}")
        self._restart_exited(number)
        disturbance.end = time.monotonic()

    def _restart_exited(self, number: int) -> None:
        self.process_by_number[number].wait(STOP_GRACE_SECONDS)
        self.start_instance(number)

    async def _kill_all(self, fault: plan.Fault) -> None:
        numbers = sorted(self.process_by_number)
        locks = [self._lock_by_instance.setdefault(number, asyncio.Lock()) for number in numbers]
        for lock in locks:
            await lock.acquire()
        disturbances = [self.record_disturbance(f"instance {number}") for number in numbers]
        for number in numbers:
            self._send_signal(number, signal.SIGKILL)
        await asyncio.sleep(fault.for_s)
        for number, disturbance, lock in zip(numbers, disturbances, locks, strict=True):
            self._restart_exited(number)
            disturbance.end = time.monotonic()
            lock.release()

    async def _drain_server(self, fault: plan.Fault) -> None:
        name = self._choose_server(fault)
        service = name.rpartition("-")[0]
        if service in self._drained_services:
            return
        self._drained_services.add(service)
        await self.write(lambda: self.set_state(name, fault.how or "draining"))
        self.drain_by_server[name] = self.record_drain(name)
        await asyncio.sleep(DRAIN_LIMIT_SECONDS + fault.for_s)
        drained = self.drain_by_server.pop(name)
        drained.end = min(drained.end, time.monotonic())
        self._drained_services.remove(service)
        await self.write(lambda: self.set_state(name, "ready"))

    def record_drain(self, name: str) -> DrainedServer:
        """Records that the store has accepted that a server is draining or removed."""
        drained = DrainedServer(name, time.monotonic())
        self.drained_servers.append(drained)
        return drained

    async def _inject_server_fault(self, fault: plan.Fault) -> None:
        behaviour = self.server_by_name[self._choose_server(fault)].behaviour
        disturbance = self.record_disturbance(f"server {self._choose_server(fault)}")
        behaviour.fault = fault.how
        await asyncio.sleep(fault.for_s)
        behaviour.fault = ""
        disturbance.end = time.monotonic()

    async def _slow_server(self, fault: plan.Fault) -> None:
        """Slows a server down; not a disturbance, since all rules must hold meanwhile."""
        behaviour = self.server_by_name[self._choose_server(fault)].behaviour
        behaviour.work_seconds = SLOW_WORK_SECONDS
        await asyncio.sleep(fault.for_s)
        behaviour.work_seconds = type(behaviour)().work_seconds

    async def _inject_store_fault(self, fault: plan.Fault) -> None:
        if fault.how == "forget":
            self.call_in_thread(self.store.discard_history)
            return
        disturbance = self.record_disturbance(STORE)
        self.store.fault = fault.how
        await asyncio.sleep(fault.for_s)
        self.store.fault = ""
        disturbance.end = time.monotonic()

    async def _inject_link_fault(self, fault: plan.Fault) -> None:
        source = proxy.ANY_SOURCE
        if fault.kind is plan.FaultKind.LINK:
            faulty_proxy, source = self._peer_proxy_by_instance[fault.other], fault.instance
            target = LINKS
        elif fault.kind is plan.FaultKind.STORE_LINK:
            faulty_proxy, target = self._store_proxy_by_instance[fault.instance], STORE
        else:
            faulty_proxy, target = (
                self._server_proxy_by_name[self._choose_server(fault)],
                f"server {self._choose_server(fault)}",
            )
        disturbance = self.record_disturbance(target)
        self.call_in_thread(lambda: faulty_proxy.inject_fault(fault.how, source))
        await asyncio.sleep(fault.for_s)
        self.call_in_thread(lambda: faulty_proxy.clear_fault(source))
        disturbance.end = time.monotonic()

    def _choose_server(self, fault: plan.Fault) -> str:
        """Returns the affected server; one in three times it is one that receives orders."""
        names = sorted(self.server_by_name)
        if fault.place % 3 == 0:
            names = [name for name in names if name.startswith(fleet.PLAIN_SERVICE)]
        return names[fault.place // 3 % len(names)]

    async def record_stalls(self, stopping: asyncio.Event) -> None:
        """Records the periods in which the event loop of the soak was not scheduled."""
        previous = time.monotonic()
        while not stopping.is_set():
            await asyncio.sleep(STALL_CHECK_SECONDS)
            now = time.monotonic()
            if now - previous > STALL_MIN_SECONDS:
                self.disturbances.append(Disturbance(STALL, previous, now))
            previous = now

    def stalled_seconds(self, start: float) -> float:
        """Returns for how long the soak itself was stalled since a time."""
        return sum(
            max(0.0, disturbance.end - max(start, disturbance.start))
            for disturbance in self.disturbances
            if disturbance.target == STALL
        )

    def record_disturbance(self, target: str) -> Disturbance:
        """Records that something is disturbed from now on."""
        disturbance = Disturbance(target, time.monotonic())
        self.disturbances.append(disturbance)
        return disturbance

    def is_disturbed(self, prefixes: tuple[str, ...], start: float, end: float) -> bool:
        """Returns whether a target that begins with one of the prefixes was disturbed.

        A stall of the soak itself counts as a disturbance of every target.

        Args:
            prefixes: Prefixes of targets.
            start: Start of the period, in monotonic seconds.
            end: End of the period.
        """
        return any(
            disturbance.target.startswith((*prefixes, STALL))
            and disturbance.start <= end
            and disturbance.end >= start
            for disturbance in self.disturbances
        )
