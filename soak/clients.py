"""Clients with persistent connections, and the records of their requests."""

import asyncio
import contextlib
import dataclasses
import random
import time

from standins import fleet

# Share of the requests whose client closes the connection before the deadline.
ABANDON_SHARE = 0.15
DEADLINE_MS = 2000
# Longest time that a client waits beyond the deadline that it sends.
DEADLINE_SLACK_SECONDS = 1.0
RECONNECT_PAUSE_SECONDS = 0.05
# Kind, method, pattern of the path, and weight in the choice of the next request.
REQUEST_KINDS = (
    ("gathered", "GET", "/find/{}", 6),
    ("plain", "GET", "/record/{}", 2),
    ("order", "POST", "/order/{}", 3),
)


@dataclasses.dataclass
class RequestRecord:
    """A request and its result; times are monotonic seconds.

    Attributes:
        request_id: Id of the request.
        kind: ``gathered`` if it is sent to all shards, ``plain`` to one server, ``order`` if it is
            also non-idempotent, and ``probe`` if it tests which version is in force.
        target: Path of the request.
        instance: Number of the instance that it was sent to.
        sent_at: Time at which it was sent.
        ended_at: Time at which the answer was complete or the connection ended; 0 if neither
            happened.
        status: Status of the answer; 0 without a complete answer.
        headers: Header fields of the answer, by lower-case name.
        body: Body of the answer.
        abandoned_at: Time at which the client closed the connection before an answer; 0 if it
            did not.
        is_first_on_connection: Whether it was the first request on its connection.
    """

    request_id: str
    kind: str
    target: str
    instance: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    abandoned_at: float = 0.0
    is_first_on_connection: bool = False


class Client:
    """A client with one persistent connection to one instance.

    Args:
        name: Prefix of the request ids, unique in the run.
        instance: Number of the instance to call.
        rng: Random number generator.
        records: Requests of all clients; the client appends its own.
    """

    def __init__(self, name: str, instance: int, rng: random.Random, records: list[RequestRecord]):
        self._name = name
        self._instance = instance
        self._rng = rng
        self._records = records
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._count = 0

    async def run(self, pause_seconds: float, stopping: asyncio.Event) -> None:
        """Sends requests until ``stopping`` is set, then closes the connection.

        Args:
            pause_seconds: Mean pause between two requests.
            stopping: Event that ends the client.
        """
        weights = [weight for *_, weight in REQUEST_KINDS]
        try:
            while not stopping.is_set():
                kind, method, pattern, _ = self._rng.choices(REQUEST_KINDS, weights)[0]
                self._count += 1
                abandons = self._rng.random() < ABANDON_SHARE
                await self.send(kind, method, pattern.format(self._count), abandons)
                await asyncio.sleep(self._rng.expovariate(1.0 / pause_seconds))
        finally:
            self.close()

    async def send(
        self, kind: str, method: str, target: str, abandons: bool = False
    ) -> RequestRecord:
        """Sends a request and waits until it is answered, fails or is abandoned.

        If the connection cannot be opened, the request is not sent and not recorded.

        Args:
            kind: Kind of the request.
            method: HTTP method.
            target: Path.
            abandons: Whether to close the connection early, without waiting for the answer.
        """
        is_first = await self._connect()
        self._count += 1
        record = RequestRecord(
            f"{self._name}-{self._count}",
            kind,
            target,
            self._instance,
            time.monotonic(),
            is_first_on_connection=is_first,
        )
        if self._writer is None:
            await asyncio.sleep(RECONNECT_PAUSE_SECONDS)
            return record
        self._records.append(record)
        timeout_seconds = (
            self._rng.uniform(0.0, 0.1) if abandons else DEADLINE_MS / 1000 + DEADLINE_SLACK_SECONDS
        )
        try:
            self._writer.write(_encode_request(method, target, record.request_id))
            await asyncio.wait_for(self._read_answer(record), timeout_seconds)
        except TimeoutError:
            record.abandoned_at = time.monotonic()
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            record.ended_at = time.monotonic()
            self.close()
        if record.headers.get("connection", "").lower() == "close":
            self.close()
        return record

    def close(self) -> None:
        """Closes the connection if there is one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _connect(self) -> bool:
        """Opens the connection, unless it is open; returns whether it was not open."""
        if self._writer is not None and not self._writer.is_closing():
            return False
        with contextlib.suppress(OSError, TimeoutError):
            opening = asyncio.open_connection(f"127.0.1.{self._instance}", fleet.CALLERS_PORT)
            self._reader, self._writer = await asyncio.wait_for(opening, 1.0)
        return True

    async def _read_answer(self, record: RequestRecord) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.strip().split("\r\n")
        for line in lines:
            name, _, value = line.partition(":")
            record.headers[name.strip().lower()] = value.strip()
        length = int(record.headers.get("content-length", "0"))
        record.body = await self._reader.readexactly(length)
        record.status = int(status_line.split(" ")[1])
        record.ended_at = time.monotonic()


def _encode_request(method: str, target: str, request_id: str) -> bytes:
    body = b"one boat" if method == "POST" else b""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {fleet.HOST_NAME}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
