"""Starts a whole deployment on loopback as separate processes, and ends it.

Used by the demonstration, the tests and the measurements.
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

from standins import relay

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_PORT = 20_000
HTTP_PORT_BASE = 20_100
PEER_PORT_BASE = 20_200
START_SECONDS = 30.0
POLL_SECONDS = 0.02


class SiteOptions(msgspec.Struct, frozen=True):
    """What to start.

    Attributes:
        example: Folder under ``examples``.
        zones: Availability zones, given to the instances in turn.
        instances: Number of instances.
        pools: Pools to start backend servers of; empty for all.
        median_ms: Median working time of backend servers.
        straggle_share: Share of straggling calls.
        straggle_ms: Working time of straggling calls.
        settings: Extra INI text for each instance.
        program: Command that runs the program; empty for this Python.
        seed: Seed of the backend servers.
        backend_processes: Processes for each pool's backend servers.
        relayed_instances: Instances whose streams from others pass a relay.
        relayed_server: Backend server whose connections pass a relay; empty for none.
        traced_instance: Instance that writes ``trace.jsonl`` to the folder; 0 for none.
        is_full_mesh: Whether to wait until each instance has streams to all others.
        dropped_option: Option left out of the table of routes; empty for none.
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
    """The deployment did not come up or a process ended."""


class Site:
    """A running deployment.

    Args:
        options: What to start.

    Attributes:
        options: What was started.
        process_by_name: All processes, by name.
        relay_by_name: Relays, by the name of what lies behind them.
    """

    def __init__(self, options: SiteOptions):
        self.options = options
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="monsoonhoist-"))
        self._backend_by_server: dict[str, str] = {}
        self.relay_by_name: dict[str, relay.Relay] = {}

    def start(self) -> "Site":
        """Starts everything and waits until all instances are ready."""
        self.start_platform()
        self.start_backends()
        self.publish_tables()
        self.publish_instances()
        for number in range(1, self.options.instances + 1):
            self.start_instance(number)
        self.wait_ready()
        return self

    def start_platform(self) -> None:
        """Starts the configuration service and the instance list."""
        command = [sys.executable, "-m", "standins.platform", str(PLATFORM_PORT)]
        self._spawn("platform", command)
        self._wait(lambda: fetch(f"{platform_url()}/v1/instances") is not None, "platform")

    def start_backends(self) -> None:
        """Starts the backend servers, one process for each pool."""
        for path in self.pool_paths():
            for part in range(self.options.backend_processes):
                self._spawn(f"pool-{path.stem}-{part}", self._backend_command(path, part))
            for server, address in addresses(path).items():
                self._backend_by_server[server] = f"http://{address}"
        for url in self._backend_by_server.values():
            self._wait(lambda url=url: fetch(f"{url}/control") is not None, url)

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
        """Publishes the example's tables."""
        folder = ROOT / "examples" / self.options.example
        lines = (folder / "routes.ini").read_text(encoding="utf-8").splitlines(keepends=True)
        dropped = self.options.dropped_option or "\0"
        self.publish("routes", "".join(line for line in lines if not line.startswith(dropped)))
        for path in self.pool_paths():
            self.publish(f"pool/{path.stem}", self.pool_text(path.stem))

    def pool_text(self, pool: str) -> str:
        """Returns a pool's table, with the relay's address where there is one."""
        path = ROOT / "examples" / self.options.example / "pools" / f"{pool}.ini"
        text = path.read_text(encoding="utf-8")
        server = self.options.relayed_server
        address = addresses(path).get(server)
        if address is None:
            return text
        if server not in self.relay_by_name:
            host, _, port = address.rpartition(":")
            self.relay_by_name[server] = relay.Relay(host, int(port))
        return text.replace(address, f"127.0.0.1:{self.relay_by_name[server].port}")

    def publish_instances(self, numbers: tuple[int, ...] = ()) -> None:
        """Publishes the instance list, of all instances or of the given ones."""
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
        self.control("instances", json.dumps(rows))

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
            f"http_port = {HTTP_PORT_BASE + number}\npeer_port = {self._peer_port(number)}\n"
            f"peer_listen_port = {PEER_PORT_BASE + number}\n"
            f"[platform]\nconfig_url = {platform_url()}\n"
            f"instances_url = {platform_url()}/v1/instances\n{self.options.settings}"
        )

    def wait_ready(self, numbers: tuple[int, ...] = ()) -> None:
        """Waits until instances are ready and connected to all others that run."""
        numbers = numbers or tuple(range(1, self.options.instances + 1))
        for number in numbers:
            url = f"{self.url(number)}/ready"
            self._wait(lambda url=url: fetch(url) is not None, f"node-{number}")
        if not self.options.is_full_mesh:
            return
        running = [name for name in self.process_by_name if name.startswith("node-")]
        for number in numbers:
            self._wait(lambda n=number: self._sees(n, running), f"streams of node-{number}")

    def _sees(self, number: int, running: list[str]) -> bool:
        members = self.status(number)["members"]
        connected = {row["instance"] for row in members if row["connected"]}
        return set(running) - {f"node-{number}"} <= connected

    def status(self, number: int) -> dict:
        """Returns an instance's status."""
        return json.loads(fetch(f"{self.url(number)}/v1/status") or "{}")

    def revision(self, number: int, key: str) -> int:
        """Returns the revision number of a key in force at an instance, or 0."""
        keys = self.status(number)["keys"]
        return next((row["number"] for row in keys if row["key"] == key), 0)

    def publish(self, key: str, text: str, number: int = 0) -> int:
        """Publishes a table value and returns its revision number."""
        reply = self.control(f"values/{key}?number={number}", text)
        return json.loads(reply)["number"]

    def control(self, path: str, body: str) -> str:
        """Controls the platform."""
        return send("PUT", f"{platform_url()}/control/{path}", body)

    def behave(self, server: str, **changes: object) -> None:
        """Changes a backend server's behaviour."""
        send("PUT", f"{self._backend_by_server[server]}/control", json.dumps(changes))

    def journal(self, server: str) -> dict:
        """Returns a backend server's journal."""
        return json.loads(fetch(f"{self._backend_by_server[server]}/control") or "{}")

    def servers(self, pool: str) -> list[str]:
        """Returns the names of a pool's servers."""
        path = ROOT / "examples" / self.options.example / "pools" / f"{pool}.ini"
        return list(addresses(path))

    def url(self, number: int) -> str:
        """Returns the address of an instance for callers."""
        return f"http://127.0.0.1:{HTTP_PORT_BASE + number}"

    def ask(self, number: int, route: str, query: str, **fields: object) -> dict:
        """Sends a request to an instance and returns the answer."""
        body = json.dumps({"query": query, **fields})
        return json.loads(send("POST", f"{self.url(number)}/v1/query/{route}", body))

    def ticket(self, number: int, route: str) -> str:
        """Returns a new ticket."""
        reply = send("POST", f"{self.url(number)}/v1/ticket/{route}", "")
        return json.loads(reply)["ticket"]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this object started."""
        self.process_by_name[name].send_signal(number)

    def wait_exit(self, name: str) -> int:
        """Waits until a process has ended and returns its exit code."""
        code = self.process_by_name[name].wait(timeout=START_SECONDS)
        del self.process_by_name[name]
        return code

    def pool_paths(self) -> list[pathlib.Path]:
        """Returns the table files of the started pools."""
        folder = ROOT / "examples" / self.options.example / "pools"
        names = self.options.pools
        return [path for path in sorted(folder.glob("*.ini")) if not names or path.stem in names]

    def stop(self) -> None:
        """Ends all processes that this object started."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.kill()
                process.send_signal(signal.SIGCONT)
        for process in self.process_by_name.values():
            process.wait()
        self.process_by_name.clear()
        for between in self.relay_by_name.values():
            between.close()
        self.relay_by_name.clear()

    def _spawn(self, name: str, command: list[str]) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        self.process_by_name[name] = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def _peer_port(self, number: int) -> int:
        """Returns the port at which others reach an instance, a relay's where it has one."""
        if number not in self.options.relayed_instances:
            return PEER_PORT_BASE + number
        name = f"node-{number}"
        if name not in self.relay_by_name:
            self.relay_by_name[name] = relay.Relay("127.0.0.1", PEER_PORT_BASE + number)
        return self.relay_by_name[name].port

    def _zone(self, number: int) -> str:
        return self.options.zones[(number - 1) % len(self.options.zones)]

    def _wait(self, is_done: object, what: str) -> None:
        wait_until(is_done, f"{what} did not come up; logs in {self.folder}")


def wait_until(is_done: object, message: str, seconds: float = START_SECONDS) -> None:
    """Waits for a condition.

    Raises:
        SiteError: If it is not met in time.
    """
    ends = time.monotonic() + seconds
    while not is_done():
        if time.monotonic() > ends:
            raise SiteError(message)
        time.sleep(POLL_SECONDS)


def platform_url() -> str:
    """Returns the address of the platform."""
    return f"http://127.0.0.1:{PLATFORM_PORT}"


def fetch(url: str) -> str | None:
    """Returns the body at an address, or None without a reply of status 200."""
    try:
        return send("GET", url, None)
    except (urllib.error.URLError, OSError):
        return None


def send(method: str, url: str, body: str | None) -> str:
    """Sends a request and returns the body of the reply, whatever its status."""
    payload = body.encode() if body is not None else None
    request = urllib.request.Request(url, data=payload, method=method)
    try:
        with urllib.request.urlopen(request, timeout=START_SECONDS) as reply:
            return reply.read().decode()
    except urllib.error.HTTPError as error:
        if method == "GET":
            raise
        return error.read().decode()


def addresses(path: pathlib.Path) -> dict[str, str]:
    """Returns the address of each server in a pool's table."""
    address_by_server: dict[str, str] = {}
    name = ""
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("[server "):
            name = line[len("[server ") : -1]
        elif line.startswith("address"):
            address_by_server[name] = line.partition("=")[2].strip()
    return address_by_server
