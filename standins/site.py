"""Runs a deployment with the native dialect on loopback, each instance as a process.

The demonstration, the tests and the measurements use it. The configuration service, the instance
list and the backend servers are stand-ins, which run as processes too.
"""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

import msgspec

from standins import ports, relay

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.02


class SiteOptions(msgspec.Struct, frozen=True):
    """Options of a deployment.

    Attributes:
        example: Folder under ``examples`` with the tables.
        zones: Availability zones, assigned to the instances in turn.
        instances: Number of instances.
        pools: Pools whose backend servers are started; empty for all.
        median_ms: Median work time of the backend servers.
        straggle_share: Share of calls that are stragglers, from 0 to 1.
        straggle_ms: Work time of a straggler.
        settings: INI text appended to the settings of each instance.
        program: Command that runs the program; empty to run it with this Python interpreter.
        seed: Seed of the backend servers' random work times.
        backend_processes: Number of processes that run the backend servers of a pool.
        relayed_instances: Numbers of the instances whose incoming streams pass through a relay.
        relayed_server: Backend server whose connections pass through a relay; empty for none.
        traced_instance: Number of the instance that writes ``trace.jsonl`` to the folder; 0 for
            none.
        is_full_mesh: Whether to wait until each instance has streams to all others.
        dropped_option: Lines of the table of routes that begin with this text are left out; empty
            to keep all.
    """

    example: str = "zurichsee"
    zones: tuple[str, ...] = ("wollishofen", "kuesnacht", "waedenswil")
    instances: int = 3
    pools: tuple[str, ...] = ()
    median_ms: float = 8.0
    straggle_share: float = 0.0
    straggle_ms: float = 200.0
    settings: str = "[timing]\nbalancer_lag_ms = 300\n"
    program: tuple[str, ...] = ()
    seed: int = 1
    backend_processes: int = 1
    dropped_option: str = ""
    relayed_instances: tuple[int, ...] = ()
    relayed_server: str = ""
    traced_instance: int = 0
    is_full_mesh: bool = True


class SiteError(Exception):
    """A condition was not met in time, for instance that a process became ready."""


class Site:
    """A deployment with the native dialect on loopback; its instances are numbered from 1.

    Args:
        options: Options of the deployment.

    Attributes:
        options: Options of the deployment.
        process_by_name: Processes that this object started: ``config-service``, ``pool-POOL-PART``
            and ``node-NUMBER``.
        folder: Temporary folder with settings, logs and the trace.
        relay_by_name: Relays by the name of the instance or backend server to which they relay.
    """

    def __init__(self, options: SiteOptions):
        self.options = options
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="monsoonhoist-"))
        self._url_by_server: dict[str, str] = {}
        self.relay_by_name: dict[str, relay.Relay] = {}

    def start(self) -> "Site":
        """Starts all processes and waits until all instances are ready."""
        self.start_config_service()
        self.start_backends()
        self.publish_tables()
        self.publish_instances()
        for number in range(1, self.options.instances + 1):
            self.start_instance(number)
        self.wait_ready()
        return self

    def start_config_service(self) -> None:
        """Starts the process of the configuration service and the instance list."""
        command = [sys.executable, "-m", "standins.config_service", str(ports.CONFIG_SERVICE_PORT)]
        self._spawn("config-service", command)
        self._wait_for(
            lambda: fetch(f"{config_service_url()}/v1/instances") is not None, "config-service"
        )

    def start_backends(self) -> None:
        """Starts ``backend_processes`` processes with the backend servers of each pool."""
        for path in self.pool_paths():
            for part in range(self.options.backend_processes):
                self._spawn(f"pool-{path.stem}-{part}", self._backend_command(path, part))
            for server, address in read_addresses(path).items():
                self._url_by_server[server] = f"http://{address}"
        for url in self._url_by_server.values():
            self._wait_for(lambda url=url: fetch(f"{url}/control") is not None, url)

    def _backend_command(self, path: pathlib.Path, part: int) -> list[str]:
        options = self.options
        return [
            sys.executable,
            "-m",
            "standins.backends",
            f"--pool={path.stem}={path}",
            f"--part={part}",
            f"--parts={options.backend_processes}",
            f"--median-ms={options.median_ms}",
            f"--straggle-share={options.straggle_share}",
            f"--straggle-ms={options.straggle_ms}",
            f"--seed={options.seed}",
        ]

    def publish_tables(self) -> None:
        """Publishes the tables of the example."""
        self.publish("routes", self.routes_text())
        for path in self.pool_paths():
            self.publish(f"pool/{path.stem}", self.pool_text(path.stem))

    def routes_text(self) -> str:
        """Returns the example's table of routes, without the dropped option."""
        path = ROOT / "examples" / self.options.example / "routes.ini"
        lines = path.read_text(encoding="utf-8").splitlines(keepends=True)
        # No line of a table begins with a NUL character.
        dropped = self.options.dropped_option or "\0"
        return "".join(line for line in lines if not line.startswith(dropped))

    def pool_text(self, pool: str) -> str:
        """Returns a pool's table; a relayed server has the address of its relay, made on demand."""
        path = self._pool_path(pool)
        text = path.read_text(encoding="utf-8")
        server = self.options.relayed_server
        address = read_addresses(path).get(server)
        if address is None:
            return text
        if server not in self.relay_by_name:
            host, _, port = address.rpartition(":")
            self.relay_by_name[server] = relay.Relay(host, int(port))
        return text.replace(address, f"127.0.0.1:{self.relay_by_name[server].port}")

    def publish_instances(self, numbers: tuple[int, ...] = ()) -> None:
        """Publishes an instance list with the given instances, by default all."""
        numbers = numbers or tuple(range(1, self.options.instances + 1))
        rows = [
            {
                "instance": f"node-{number}",
                "host": "127.0.0.1",
                "peer_port": self._peer_port(number),
                "zone": self._zone(number),
                "state": "live",
            }
            for number in numbers
        ]
        self.send_control("instances", json.dumps(rows))

    def start_instance(self, number: int) -> None:
        """Starts one instance."""
        path = self.folder / f"node-{number}.ini"
        path.write_text(self.settings_text(number), encoding="utf-8")
        program = list(self.options.program) or [sys.executable, "-m", "monsoonhoist"]
        command = [*program, "serve", str(path), "--log-level", "info"]
        if number == self.options.traced_instance:
            command += ["--trace", str(self.folder / "trace.jsonl")]
        self._spawn(f"node-{number}", command)

    def settings_text(self, number: int) -> str:
        """Returns the settings of an instance."""
        return (
            f"[instance]\nname = node-{number}\ndeployment = {self.options.example}\n"
            f"zone = {self._zone(number)}\nhost = 127.0.0.1\n"
            f"http_port = {ports.HTTP_PORT_BASE + number}\npeer_port = {self._peer_port(number)}\n"
            f"peer_listen_port = {ports.PEER_PORT_BASE + number}\n"
            f"[platform]\nconfig_url = {config_service_url()}\n"
            f"instances_url = {config_service_url()}/v1/instances\n{self.options.settings}"
        )

    def wait_ready(self, numbers: tuple[int, ...] = ()) -> None:
        """Waits until the given instances, by default all, are ready and their streams are up."""
        numbers = numbers or tuple(range(1, self.options.instances + 1))
        for number in numbers:
            url = f"{self.url(number)}/ready"
            self._wait_for(lambda url=url: fetch(url) is not None, f"node-{number}")
        if not self.options.is_full_mesh:
            return
        running = [name for name in self.process_by_name if name.startswith("node-")]
        for number in numbers:
            self._wait_for(
                lambda n=number: self._is_connected(n, running), f"streams of node-{number}"
            )

    def _is_connected(self, number: int, instances: list[str]) -> bool:
        members = self.status(number)["members"]
        connected = {row["instance"] for row in members if row["connected"]}
        return set(instances) - {f"node-{number}"} <= connected

    def status(self, number: int) -> dict:
        """Returns an instance's status."""
        return json.loads(fetch(f"{self.url(number)}/v1/status") or "{}")

    def revision(self, number: int, key: str) -> int:
        """Returns the revision number of a key's value at an instance, or 0 without a value."""
        keys = self.status(number)["keys"]
        return next((row["number"] for row in keys if row["key"] == key), 0)

    def publish(self, key: str, text: str, number: int = 0) -> int:
        """Publishes a table value and returns its revision number, or 0 if the service is away.

        Args:
            key: Key of the table.
            text: INI text.
            number: Revision number; 0 for one more than the current one.
        """
        reply = self.send_control(f"values/{key}?number={number}", text)
        return json.loads(reply)["number"]

    def send_control(self, path: str, body: str) -> str:
        """Sends a control command to the configuration service and returns the reply."""
        return send("PUT", f"{config_service_url()}/control/{path}", body)

    def set_behaviour(self, server: str, **changes: object) -> None:
        """Changes the behaviour of a backend server; see ``backends.Behaviour``."""
        send("PUT", f"{self._url_by_server[server]}/control", json.dumps(changes))

    def server_statistics(self, server: str) -> dict:
        """Returns the counters of a backend server; see ``backends.Statistics``."""
        return json.loads(fetch(f"{self._url_by_server[server]}/control") or "{}")

    def servers(self, pool: str) -> list[str]:
        """Returns the names of a pool's backend servers."""
        return list(read_addresses(self._pool_path(pool)))

    def url(self, number: int) -> str:
        """Returns the base URL at which an instance serves callers."""
        return f"http://127.0.0.1:{ports.HTTP_PORT_BASE + number}"

    def send_query(self, number: int, route: str, query: str, **fields: object) -> dict:
        """Sends a request to an instance and returns the answer."""
        body = json.dumps({"query": query, **fields})
        return json.loads(send("POST", f"{self.url(number)}/v1/query/{route}", body))

    def request_ticket(self, number: int, route: str) -> str:
        """Requests a ticket from an instance and returns it."""
        reply = send("POST", f"{self.url(number)}/v1/ticket/{route}", "")
        return json.loads(reply)["ticket"]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this object started."""
        self.process_by_name[name].send_signal(number)

    def wait_exit(self, name: str) -> int:
        """Waits until a process ends, drops it from ``process_by_name``, returns its exit code."""
        code = self.process_by_name[name].wait(timeout=TIMEOUT_SECONDS)
        del self.process_by_name[name]
        return code

    def pool_paths(self) -> list[pathlib.Path]:
        """Returns the tables of the pools whose servers are started, with this run's ports."""
        folder = ROOT / "examples" / self.options.example / "pools"
        names = self.options.pools
        pools = sorted(path.stem for path in folder.glob("*.ini"))
        return [self._pool_path(pool) for pool in pools if not names or pool in names]

    def _pool_path(self, pool: str) -> pathlib.Path:
        """Returns a copy of a pool's table of the example, with this run's ports."""
        copy = self.folder / f"{pool}.ini"
        if not copy.exists():
            path = ROOT / "examples" / self.options.example / "pools" / f"{pool}.ini"
            text = ports.shift_addresses(path.read_text(encoding="utf-8"))
            copy.write_text(text, encoding="utf-8")
        return copy

    def stop(self) -> None:
        """Kills all processes that this object started, and closes the relays."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.kill()
                process.send_signal(signal.SIGCONT)
        for process in self.process_by_name.values():
            process.wait()
        self.process_by_name.clear()
        for tcp_relay in self.relay_by_name.values():
            tcp_relay.close()
        self.relay_by_name.clear()

    def _spawn(self, name: str, command: list[str]) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        self.process_by_name[name] = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def _peer_port(self, number: int) -> int:
        """Returns the port for streams to an instance; that of its relay if it is relayed."""
        if number not in self.options.relayed_instances:
            return ports.PEER_PORT_BASE + number
        name = f"node-{number}"
        if name not in self.relay_by_name:
            self.relay_by_name[name] = relay.Relay("127.0.0.1", ports.PEER_PORT_BASE + number)
        return self.relay_by_name[name].port

    def _zone(self, number: int) -> str:
        return self.options.zones[(number - 1) % len(self.options.zones)]

    def _wait_for(self, is_done: object, name: str) -> None:
        wait_until(is_done, f"{name} did not become ready in time; logs in {self.folder}")


def wait_until(is_done: object, message: str, seconds: float = TIMEOUT_SECONDS) -> None:
    """Waits until a condition is met.

    Args:
        is_done: Function that returns whether the condition is met.
        message: Text of the error.
        seconds: Maximum time to wait.

    Raises:
        SiteError: If the condition is not met in time.
    """
    deadline = time.monotonic() + seconds
    while not is_done():
        if time.monotonic() > deadline:
            raise SiteError(message)
        time.sleep(POLL_INTERVAL_SECONDS)


def config_service_url() -> str:
    """Returns the base URL of the configuration service."""
    return f"http://127.0.0.1:{ports.CONFIG_SERVICE_PORT}"


def fetch(url: str) -> str | None:
    """Returns the body of a successful reply to a GET request, or None after an error."""
    try:
        return send("GET", url, None)
    except (urllib.error.URLError, OSError):
        return None


def send(method: str, url: str, body: str | None) -> str:
    """Sends a request and returns the body of the reply.

    The body of a reply with an error status is returned as well, unless the method is GET.

    Raises:
        urllib.error.HTTPError: If the reply to a GET request has an error status.
        urllib.error.URLError: If there is no reply.
    """
    payload = body.encode() if body is not None else None
    request = urllib.request.Request(url, data=payload, method=method)
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_SECONDS) as reply:
            return reply.read().decode()
    except urllib.error.HTTPError as error:
        if method == "GET":
            raise
        return error.read().decode()


def read_addresses(path: pathlib.Path) -> dict[str, str]:
    """Returns the address of each server in a pool's table file."""
    address_by_server: dict[str, str] = {}
    server = ""
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("[server "):
            server = line[len("[server ") : -1]
        elif line.startswith("address"):
            address_by_server[server] = line.partition("=")[2].strip()
    return address_by_server
