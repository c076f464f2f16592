"""Small deployment for the cases of the second review: store, backend servers and instances.

The instances are processes that are started as ``deploy/system.toml`` says, with settings from
``deploy/settings.ini``. The store is the project's stand-in. The backend servers are stand-ins of
this module; they run on an event loop in a thread. All addresses are loopback addresses with free
ports.
"""

import asyncio
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins import store  # noqa: E402

HOST_NAME = "club.example"
STORE_HOST = "127.0.3.200"
SERVER_HOST = "127.0.3.201"
READY_SECONDS = 25.0
# Ids of requests of strangers begin so.
STRANGER_PREFIX = "stranger"
# Limits of callers as the platform's configurations state them.
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 262144,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
_SECTION = re.compile(r"{{#([^}]+)}}(.*?){{/\1}}", re.DOTALL)
_PLACEHOLDER = re.compile(r"{{([^}]+)}}")


class Record:
    """The file ``record.txt``: what was sent, answered and run, with times in seconds."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def add(self, what: str, **fields: object) -> None:
        """Adds a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_at:9.3f} {what} {text}\n")
            self._file.flush()


class Request:
    """A request that a backend server has received."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body_bytes: int):
        self.method = method
        self.target = target
        self.headers = headers
        self.request_id = headers.get("x-request-id", "")
        self.body_bytes = body_bytes


Handler = Callable[["Backend", Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable]


class Backend:
    """Backend server that begins to work on each request and then calls its handler.

    Requests that carry the id of another server are answered with status 421 and do not run. Health
    checks are answered at once.
    """

    def __init__(self, name: str, service: str, record: Record, handler: Handler):
        self.name = name
        self.service = service
        self.handler = handler
        self.record = record
        self.runs: list[tuple[float, str]] = []
        self.stranger_runs = 0
        self.address = ""

    async def start(self) -> None:
        """Starts accepting connections."""
        server = await asyncio.start_server(self._serve, SERVER_HOST, 0)
        self.address = f"{SERVER_HOST}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await _read_request(reader)) is not None:
                await self._handle(request, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if request.target == "/health":
            fields = {"X-Instance": self.name, "X-Backend-Load": "0,0,4"}
            writer.write(encode_reply(200, request, b"", fields))
            return
        if request.headers.get("x-target-instance") != self.name:
            writer.write(encode_reply(421, request, b"", {}))
            return
        self.runs.append((time.monotonic(), request.request_id))
        if request.request_id.startswith(STRANGER_PREFIX):
            # There are thousands of them; the cases record how many.
            self.stranger_runs += 1
        else:
            self.record.add(
                "run",
                id=request.request_id,
                server=self.name,
                target=request.target,
                body=request.body_bytes,
            )
        await self.handler(self, request, reader, writer)

    def stamp(self, request: Request) -> str:
        """Returns a digest for the answer to a request."""
        return f"{self.name}.{request.request_id}.{len(self.runs)}"


async def answer_ok(
    backend: Backend, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Handler of a sound server that works for 20 ms."""
    await asyncio.sleep(0.02)
    fields = {"X-Server-Stamp": backend.stamp(request), "X-Backend-Load": "1,0,4"}
    writer.write(encode_reply(200, request, b"done " + request.request_id.encode(), fields))


def encode_reply(status: int, request: Request, body: bytes, fields: dict[str, str]) -> bytes:
    """Returns the bytes of a response that echoes the request's id."""
    lines = [f"HTTP/1.1 {status} Status", f"X-Request-Id: {request.request_id}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request of a connection, with its body dropped; None at its end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", "0"))
    missing = length
    while missing:
        chunk = await reader.read(min(missing, 65536))
        if not chunk:
            return None
        missing -= len(chunk)
    return Request(method, target, headers, length)


class Stage:
    """A deployment of some instances.

    Args:
        folder: Folder of the case, where the record is written.
        instances: Number of instances, each in a zone of its own unless ``one_zone``.
        memory_mb: Memory of each machine.
        one_zone: Whether all instances are in one zone.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        instances: int = 3,
        memory_mb: int = 300,
        one_zone: bool = True,
    ):
        self.record = Record(folder)
        self.instances = instances
        self.backends: dict[str, Backend] = {}
        self.process_by_number: dict[int, subprocess.Popen] = {}
        self.version = 4
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._memory_mb = memory_mb
        self._one_zone = one_zone
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._sequence = 0
        self._ports = _free_ports([host_of(number) for number in range(1, instances + 1)], 4)
        self._store_port = _free_ports([STORE_HOST], 1)[0]
        self.store: store.StoreStandIn | None = None

    def start(
        self, backends: list[tuple[str, str, Handler]], routes: list[dict], ready: bool = True
    ) -> None:
        """Starts the store, the servers and the instances, and waits until these are ready."""
        self._thread.start()
        self.run(self._start_stand_ins(backends))
        self.publish(routes)
        for number in range(1, self.instances + 1):
            self.start_instance(number)
        if ready:
            self.wait_ready()
            # Streams between the instances and the servers' first connections.
            time.sleep(3.0)

    async def _start_stand_ins(self, backends: list[tuple[str, str, Handler]]) -> None:
        self.store = store.StoreStandIn()
        self.store.listen(STORE_HOST, self._store_port)
        for name, service, handler in backends:
            backend = Backend(name, service, self.record, handler)
            await backend.start()
            self.backends[name] = backend
            self._register(name, "ready")

    def run(self, coroutine: object, timeout: float = 60.0) -> object:
        """Runs a coroutine on the event loop of the stand-ins."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(timeout)

    def call(self, function: Callable[[], object]) -> object:
        """Calls a function in the thread of the stand-ins."""

        async def run() -> object:
            return function()

        return self.run(run())

    def _register(self, name: str, state: str) -> None:
        self._sequence += 1
        backend = self.backends[name]
        item = {
            "Service": backend.service,
            "Addr": backend.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": 4,
            "State": state,
            "WarmupLeftMs": 0,
            "Seq": self._sequence,
            "born": 1,
        }
        self.store.put(f"servers/{name}", json.dumps(item).encode())

    def register(self, name: str, state: str) -> None:
        """Writes a server's item anew, as its heartbeat does."""
        self.call(lambda: self._register(name, state))

    def make_config(self, routes: list[dict]) -> "Config":
        """Returns a configuration with a newer version, which is not written yet."""
        self.version += 3
        services = sorted({backend.service for backend in self.backends.values()})
        config = {
            "Version": self.version,
            "Routes": routes,
            "Services": [
                {"Name": name, "HealthPath": "/health", "MaxConns": 96, "Proto": "h1"}
                for name in services
            ],
            "Limits": LIMITS,
        }
        return Config(self.version, json.dumps(config).encode())

    def put_config(self, config: "Config", what: str = "config-confirmed") -> None:
        """Writes a configuration."""
        revision = self.call(lambda: self.store.put("op/config", config.text))
        self.record.add(what, version=config.version, revision=revision)

    def publish(self, routes: list[dict]) -> None:
        """Writes a configuration with a newer version."""
        self.put_config(self.make_config(routes))

    def start_instance(self, number: int) -> None:
        """Starts a process as the deploy file says."""
        path = self._temporary / f"settings-{number}.ini"
        path.write_text(self._settings(number), encoding="utf-8")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MONSOONHOIST_NODE_FILE"] = str(path)
        with (self._temporary / f"log-{number}.txt").open("ab") as log:
            self.process_by_number[number] = subprocess.Popen(
                ["python3", "-m", "monsoonhoist.serve"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.record.add("start", instance=number)

    def _settings(self, number: int) -> str:
        front, ready, control, peer = self._ports
        host = host_of(number)
        values = {
            "Ip": host,
            "Zone": "z1" if self._one_zone else f"z{number}",
            "InternalPorts.0": peer,
            "platform.Addr": f"{STORE_HOST}:{self._store_port}",
            "Seeds": ",".join(
                f"{host_of(seed)}:{control}" for seed in range(1, min(3, self.instances) + 1)
            ),
            "Listen.Front": f"{host}:{front}",
            "Listen.Ready": f"{host}:{ready}",
            "Listen.Control": f"{host}:{control}",
            "Bootstrap": "true",
            "Limits.CpuShare": 0.537,
            "Limits.Cores": 2,
            "Limits.MemoryLimitMb": self._memory_mb,
            "Limits.MaxFds": 4100,
            "Bounds.RetryRatio": 0.2,
            "Bounds.RetrySlack": 52,
            "Bounds.RetryWindowS": 10,
        }
        template = (ROOT / "deploy" / "settings.ini").read_text(encoding="utf-8")
        template = _SECTION.sub(lambda found: found[2] if found[1] in values else "", template)
        return _PLACEHOLDER.sub(lambda found: str(values[found[1]]), template)

    def wait_ready(self) -> None:
        """Waits until all running instances answer the platform's question with 200."""
        ends_at = time.monotonic() + READY_SECONDS
        for number in self.process_by_number:
            while not self.is_ready(number):
                if time.monotonic() > ends_at:
                    raise CannotRunError(f"instance {number} is not ready")
                time.sleep(0.1)

    def is_ready(self, number: int) -> bool:
        """Asks an instance whether it is ready."""
        connection = http.client.HTTPConnection(host_of(number), self._ports[1], timeout=1.0)
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def front(self, number: int) -> tuple[str, int]:
        """Returns the address for consumers of an instance."""
        return host_of(number), self._ports[0]

    def kill(self, number: int, signal_number: int) -> None:
        """Sends a signal to an instance."""
        self.process_by_number[number].send_signal(signal_number)
        self.record.add("signal", instance=number, signal=signal.Signals(signal_number).name)

    def log(self, number: int) -> str:
        """Returns what an instance has written."""
        return (self._temporary / f"log-{number}.txt").read_text(encoding="utf-8")

    def close(self) -> None:
        """Ends all processes that were started, and removes the temporary folder."""
        for process in self.process_by_number.values():
            if process.poll() is None:
                process.kill()
        for process in self.process_by_number.values():
            process.wait()
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join(5.0)
        if "KEEP" in os.environ:
            print(self._temporary)
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)


class Config:
    """A configuration of the operator, as it is written."""

    def __init__(self, version: int, text: bytes):
        self.version = version
        self.text = text


class CannotRunError(Exception):
    """The case could not be run."""


def host_of(number: int) -> str:
    """Returns the address of an instance."""
    return f"127.0.3.{number}"


def memory_mb(pid: int) -> int:
    """Returns the memory that a process has for itself alone, in MiB; 0 if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return 0
    found = re.search(r"RssAnon:\s+(\d+) kB", status)
    return int(found[1]) // 1024 if found else 0


def route(name: str, prefix: str, kind: str, service: str, **fields: object) -> dict:
    """Returns a route to one service."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "Prefix": prefix,
        "Type": kind,
        "TimeoutMs": 4000,
        "GoalMs": 944,
        "Priority": 2,
        "Service": service,
        "Attempts": 2,
        **fields,
    }


def head(method: str, target: str, request_id: str, deadline_ms: int, body_bytes: int = 0) -> bytes:
    """Returns the head of a consumer's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if body_bytes or method == "POST":
        lines.append(f"Content-Length: {body_bytes}")
    return "\r\n".join([*lines, "", ""]).encode()


def main(case: Callable[[Stage], bool], make_stage: Callable[[], Stage]) -> None:
    """Plays a case, which returns whether the rule held, and exits with the code that says so."""
    signal.signal(signal.SIGTERM, _end)
    stage = None
    code = 2
    try:
        stage = make_stage()
        held = case(stage)
        stage.record.add("verdict", held=held)
        code = 0 if held else 1
    except Exception:
        # Whatever keeps the case from running says nothing about the rule.
        traceback.print_exc()
        if stage is not None:
            stage.record.add("could-not-run", error=traceback.format_exc().splitlines()[-1])
    finally:
        if stage is not None:
            stage.close()
    sys.exit(code)


def _end(number: int, frame: object) -> None:
    raise CannotRunError("the time for the case is over")


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free on all of some addresses."""
    ports: list[int] = []
    while len(ports) < count:
        sockets = [socket.socket() for _ in hosts]
        try:
            sockets[0].bind((hosts[0], 0))
            port = sockets[0].getsockname()[1]
            for each, host in zip(sockets[1:], hosts[1:], strict=True):
                each.bind((host, port))
            if port not in ports:
                ports.append(port)
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
    return ports
