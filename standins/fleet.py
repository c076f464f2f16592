"""Runs a deployment with the dialect of the users' platform on loopback.

Each instance is a process. The stand-ins of the store and of the backend servers run on an event
loop in a thread of the test.
"""

import asyncio
import http.client
import json
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable

import msgspec

from standins import ports, shards, site, store

PORT_BASE = ports.FLEET_PORT_BASE
STORE_ADDRESS = ("127.0.2.1", PORT_BASE + 100)
SERVER_HOST = "127.0.2.1"
SERVER_PORT_BASE = PORT_BASE + 200
CALLERS_PORT = PORT_BASE + 1
READY_PORT = PORT_BASE + 2
CONTROL_PORT = PORT_BASE + 3
PEER_PORT = PORT_BASE + 4
INSTANCE_COUNT = 3
# Services of the route whose requests are sent to several shards and gathered.
SHARDS = ("alpha", "beta", "gamma", "delta")
# Service of the routes whose requests each run on one server.
PLAIN_SERVICE = "records"
# Services that replace some of ``SHARDS`` when a test changes the shards.
SPARE_SHARDS = ("epsilon", "zeta")
HOST_NAME = "club.example"
CONFIG_KEY = "op/config"
# Limits of each backend server.
MAX_CONNECTIONS = 30
SLOTS = 4
CALL_TIMEOUT_SECONDS = 10.0
# Section of the template of settings.
_SECTION = re.compile(r"{{#([^}]+)}}(.*?){{/\1}}", re.DOTALL)


class WrittenItem(msgspec.Struct, frozen=True):
    """What was last written to a key of the store.

    Attributes:
        revision: Revision that the store acknowledged.
        value: The value; None if the key was removed.
    """

    revision: int
    value: bytes | None


class Reply:
    """A reply to a caller.

    Args:
        response: The response, whose body has not been read yet.

    Attributes:
        status: HTTP status.
        headers: Headers of the response.
        body: Body of the response.
    """

    def __init__(self, response: http.client.HTTPResponse):
        self.status = response.status
        self.headers = response.headers
        self.body = response.read()


class Fleet:
    """A deployment with the dialect of the users' platform; its instances are numbered from 1.

    Args:
        cell_size: Number of instances that share the calls to backend servers, all in one zone.
            With 0 it is derived from the tables, and each instance is in a zone of its own.
        instances: Number of instances.
        value_by_placeholder: Values of placeholders of the settings that replace the usual ones.
        request_limits: Limits of callers' requests in the configuration; empty for none.

    Attributes:
        instances: Number of instances.
        cell_size: Number of instances that share the calls to backend servers; 0 if derived.
        request_limits: Limits of callers' requests in the configuration; empty for none.
        folder: Temporary folder with settings and logs.
        store: Stand-in of the store; set by ``start``.
        server_by_name: Backend servers, two for each service.
        process_by_number: Processes of the instances by number.
        version: Version of the latest published configuration.
        written_by_key: Latest write of the operator and of each server, by key of the store.
    """

    def __init__(
        self,
        cell_size: int = 0,
        instances: int = INSTANCE_COUNT,
        value_by_placeholder: dict[str, str] | None = None,
        request_limits: dict[str, int] | None = None,
    ) -> None:
        self.instances = instances
        self.request_limits = request_limits or {}
        self._value_by_placeholder = value_by_placeholder
        self.cell_size = cell_size
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="monsoonhoist-fleet-"))
        self.server_by_name: dict[str, shards.ShardServer] = {}
        self.process_by_number: dict[int, subprocess.Popen] = {}
        self.version = 1
        self.written_by_key: dict[str, WrittenItem] = {}
        self._service_by_server: dict[str, str] = {}
        self._born_by_server: dict[str, int] = {}
        self._sequence_by_server: dict[str, int] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> "Fleet":
        """Starts the stand-ins and all instances, and waits until all instances are ready."""
        self._thread.start()
        self.run_in_thread(self._start_stand_ins())
        self.publish()
        for number in range(1, self.instances + 1):
            self.start_instance(number)
        self.wait_ready()
        return self

    def address_of(self, name: str) -> str:
        """Returns the address that a server registers with the store."""
        return self.server_by_name[name].address

    def settings_of(self, number: int) -> str:
        """Returns the settings of an instance."""
        return settings_text(number, self.cell_size, self._value_by_placeholder)

    async def _start_stand_ins(self) -> None:
        """Starts the store and the backend servers, and registers the servers with the store."""
        self.store = store.StoreStandIn()
        self.store.listen(*STORE_ADDRESS)
        port = SERVER_PORT_BASE
        for service in (*SHARDS, *SPARE_SHARDS, PLAIN_SERVICE):
            for letter in "ab":
                server = shards.ShardServer(f"{service}-{letter}", SERVER_HOST, port, SLOTS)
                await server.start()
                self.server_by_name[server.name] = server
                self._service_by_server[server.name] = service
                self._register_server(server.name, "ready")
                port += 1

    def _close_servers(self) -> None:
        """Closes the listening sockets, so that the next deployment can use the ports."""
        self.store.close()
        for server in self.server_by_name.values():
            server.stop()

    async def _close_connections(self) -> None:
        """Closes the connections of the stand-ins and waits until all of them have ended."""
        for server in self.server_by_name.values():
            await server.close_connections()

    def run_in_thread(self, coroutine: object) -> object:
        """Runs a coroutine on the thread's event loop and returns its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(CALL_TIMEOUT_SECONDS)

    def call_in_thread(self, function: Callable[[], object]) -> object:
        """Calls a function in the event loop's thread and returns its result."""

        async def call() -> object:
            return function()

        return self.run_in_thread(call())

    def _register_server(self, name: str, state: str) -> None:
        """Writes a server's item; each of its items has a higher number than the one before."""
        self._sequence_by_server[name] = self._sequence_by_server.get(name, 0) + 1
        registration = {
            "Service": self._service_by_server[name],
            "Addr": self.address_of(name),
            "Zone": "z1",
            "Version": "v1",
            "Slots": SLOTS,
            "State": state,
            "WarmupLeftMs": 0,
            "Seq": self._sequence_by_server[name],
            "born": self._born_by_server.get(name, 1),
        }
        self.write_item(f"servers/{name}", json.dumps(registration).encode())

    def write_item(self, key: str, value: bytes | None) -> None:
        """Writes an item of the operator or of a server, or removes it if the value is None.

        It must be called in the thread of the event loop.

        Raises:
            store.StoreAwayError: If the store is away.
        """
        revision = self.store.remove(key) if value is None else self.store.put(key, value)
        self.written_by_key[key] = WrittenItem(revision, value)

    def add_server(self, server: shards.ShardServer, service: str) -> None:
        """Registers a further backend server, which is running, for a service."""
        self.server_by_name[server.name] = server
        self._service_by_server[server.name] = service
        self.set_state(server.name, "ready")

    def register_start(self, name: str) -> None:
        """Registers a later start of a server."""
        self._born_by_server[name] = self._born_by_server.get(name, 1) + 1
        self._sequence_by_server[name] = 0
        self.set_state(name, "ready")

    def set_state(self, name: str, state: str) -> None:
        """Registers a server with a state, or unregisters it if the state is ``removed``."""
        if state == "removed":
            self.call_in_thread(lambda: self.write_item(f"servers/{name}", None))
        else:
            self.call_in_thread(lambda: self._register_server(name, state))

    def publish(
        self,
        gathered: tuple[str, ...] = SHARDS,
        extra: tuple[dict, ...] = (),
        request_limits: dict[str, int] | None = None,
    ) -> int:
        """Writes a configuration with a newer version to the store and returns the version.

        Args:
            gathered: Services of the gathered route, each of which is a shard.
            extra: Further routes.
            request_limits: Limits of callers' requests; None for those of the deployment.
        """
        # Versions need not be consecutive.
        self.version += 3
        routes = [
            {
                "Name": "gathered",
                "Host": HOST_NAME,
                "Prefix": "/find/",
                "Type": "idempotent",
                "TimeoutMs": 2000,
                "GoalMs": 800,
                "Priority": 0,
                "Gather": list(gathered),
                "Attempts": 2,
                "TopK": 5,
                "MinShardShare": 0.75,
            },
            make_plain_route("plain", "/record/", "idempotent"),
            make_plain_route("order", "/order/", "non_idempotent"),
            *extra,
        ]
        services = [
            {"Name": name, "HealthPath": "/health", "MaxConns": MAX_CONNECTIONS, "Proto": "h1"}
            for name in (*SHARDS, *SPARE_SHARDS, PLAIN_SERVICE)
        ]
        config = {"Version": self.version, "Routes": routes, "Services": services}
        limits = self.request_limits if request_limits is None else request_limits
        if limits:
            config["Limits"] = limits
        self.call_in_thread(lambda: self.write_item(CONFIG_KEY, json.dumps(config).encode()))
        return self.version

    def start_instance(self, number: int) -> None:
        """Starts one instance."""
        path = self.folder / f"instance-{number}.ini"
        path.write_text(self.settings_of(number), encoding="utf-8")
        log = (self.folder / f"instance-{number}.log").open("ab")
        command = [sys.executable, "-m", "monsoonhoist", "serve", str(path)]
        self.process_by_number[number] = subprocess.Popen(
            command, cwd=site.ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def wait_ready(self) -> None:
        """Waits until all running instances are ready."""
        for number in self.process_by_number:
            site.wait_until(
                lambda number=number: self.is_ready(number),
                f"instance {number} is not ready; logs in {self.folder}",
            )

    def is_ready(self, number: int) -> bool:
        """Returns whether an instance reports that it is ready."""
        return site.fetch(f"http://127.0.1.{number}:{READY_PORT}/api/ready") is not None

    def send_request(
        self,
        number: int,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        request_id: str = "r-1",
        deadline_ms: int = 2000,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Sends a request to an instance and returns the reply.

        Args:
            number: Number of the instance.
            target: Path and query string.
            method: Method of the request.
            body: Body of the request; empty for none.
            request_id: Value of the header ``X-Request-Id``.
            deadline_ms: Time until the request's deadline.
            headers: Further headers, which take precedence over the usual ones.
        """
        connection = http.client.HTTPConnection(
            f"127.0.1.{number}", CALLERS_PORT, timeout=CALL_TIMEOUT_SECONDS
        )
        all_headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        try:
            connection.request(method, target, body or None, all_headers)
            return Reply(connection.getresponse())
        finally:
            connection.close()

    def received_requests(self, request_id: str) -> list[shards.ReceivedRequest]:
        """Returns the requests with an id that the backend servers have received."""
        return [
            request
            for server in self.server_by_name.values()
            for request in list(server.received_requests)
            if request.request_id == request_id
        ]

    def log(self, number: int) -> list[dict]:
        """Returns the JSON lines that an instance has logged, decoded."""
        text = (self.folder / f"instance-{number}.log").read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def stop(self) -> None:
        """Kills the processes of the instances, and stops the stand-ins and their thread."""
        for process in self.process_by_number.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.process_by_number.values():
            process.wait()
        self.call_in_thread(self._close_servers)
        self.run_in_thread(self._close_connections())
        self.run_in_thread(_cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


async def _cancel_tasks() -> None:
    """Cancels all other tasks of the event loop, so that each closes its connection."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def make_plain_route(name: str, prefix: str, route_type: str, attempts: int = 2) -> dict:
    """Returns the configuration of a route whose requests each run on one server.

    Args:
        name: Name of the route.
        prefix: Path prefix of the route.
        route_type: Type of the route, ``idempotent`` or ``non_idempotent``.
        attempts: Maximum number of servers that a request may be sent to.
    """
    return {
        "Name": name,
        "Host": HOST_NAME,
        "Prefix": prefix,
        "Type": route_type,
        "TimeoutMs": 2000,
        "GoalMs": 500,
        "Priority": 2,
        "Service": PLAIN_SERVICE,
        "Attempts": attempts,
    }


def settings_text(
    number: int, cell_size: int, value_by_placeholder: dict[str, str] | None = None
) -> str:
    """Returns the settings of an instance.

    Args:
        number: Number of the instance.
        cell_size: Number of instances that share the calls to backend servers; 0 to derive it from
            the tables.
        value_by_placeholder: Values of placeholders of the template that replace the usual ones.
    """
    host = f"127.0.1.{number}"
    template = (site.ROOT / "deploy" / "settings.ini").read_text(encoding="utf-8")
    values = {
        "Ip": host,
        "Zone": "z1" if cell_size else f"z{number}",
        "InternalPorts.0": str(PEER_PORT),
        "platform.Addr": f"{STORE_ADDRESS[0]}:{STORE_ADDRESS[1]}",
        # The second seed can be reached only in a deployment of at least nine instances.
        "Seeds": f"127.0.1.1:{CONTROL_PORT},127.0.1.9:{CONTROL_PORT}",
        "Listen.Front": f"{host}:{CALLERS_PORT}",
        "Listen.Ready": f"{host}:{READY_PORT}",
        "Listen.Control": f"{host}:{CONTROL_PORT}",
        "Bootstrap": "false",
        "Limits.CpuShare": "1",
        "Limits.Cores": "1",
        "Limits.MemoryLimitMb": "300",
        "Limits.MaxFds": "4096",
        "Bounds.RetryRatio": "0.2",
        "Bounds.RetrySlack": "50",
        "Bounds.RetryWindowS": "10",
        **(value_by_placeholder or {}),
    }
    # A section renders its content only where its value is given.
    template = _SECTION.sub(lambda found: found[2] if found[1] in values else "", template)
    for name, value in values.items():
        template = template.replace("{{" + name + "}}", value)
    return template.replace("[spread]\n", f"[spread]\ncell_size = {cell_size}\n")
