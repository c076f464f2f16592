"""Clients that keep their connections until the instance is gone, and what they saw."""

import asyncio
import contextlib
import dataclasses
import random
import time

from standins import fleet

# Share of the requests whose client leaves before its time limit.
LEAVING_SHARE = 0.15
WAIT_MS = 2000
# Longest time that a client waits beyond the time limit that it tells.
SLACK_SECONDS = 1.0
RECONNECT_SECONDS = 0.05
TARGETS = (
    ("gathered", "GET", "/find/{}", 6),
    ("plain", "GET", "/record/{}", 2),
    ("order", "POST", "/order/{}", 3),
)


@dataclasses.dataclass
class Seen:
    """A request and what became of it; times are monotonic seconds.

    Attributes:
        request_id: Its id.
        kind: ``gathered``, ``plain``, ``order`` or ``probe``.
        target: Path.
        instance: Instance that it was sent to.
        sent: When it was sent.
        ended: When its answer or the end of the connection came; 0 if neither did.
        status: Status of the answer; 0 without a whole one.
        headers: Header fields of the answer, by lower-case name.
        body: Body of the answer.
        left: When the client left; 0 if it did not.
        is_new: Whether it was the first one on its connection.
    """

    request_id: str
    kind: str
    target: str
    instance: int
    sent: float
    ended: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    left: float = 0.0
    is_new: bool = False


class Client:
    """One client on one kept connection to one instance.

    Args:
        name: Name, unique in the run.
        instance: Instance that it calls.
        chance: Source of choices.
        record: All requests of the run; the client adds its own.
    """

    def __init__(self, name: str, instance: int, chance: random.Random, record: list[Seen]):
        self._name = name
        self._instance = instance
        self._chance = chance
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._count = 0

    async def run(self, pause_seconds: float, stopping: asyncio.Event) -> None:
        """Sends requests until it is told to stop, then closes the connection."""
        weights = [weight for *_, weight in TARGETS]
        try:
            while not stopping.is_set():
                kind, method, pattern, _ = self._chance.choices(TARGETS, weights)[0]
                self._count += 1
                leaves = self._chance.random() < LEAVING_SHARE
                await self.ask(kind, method, pattern.format(self._count), leaves)
                await asyncio.sleep(self._chance.expovariate(1.0 / pause_seconds))
        finally:
            self.close()

    async def ask(self, kind: str, method: str, target: str, leaves: bool = False) -> Seen:
        """Sends a request and waits for its end."""
        is_new = await self._connect()
        self._count += 1
        seen = Seen(
            f"{self._name}-{self._count}",
            kind,
            target,
            self._instance,
            time.monotonic(),
            is_new=is_new,
        )
        if self._writer is None:
            await asyncio.sleep(RECONNECT_SECONDS)
            return seen
        self._record.append(seen)
        patience = self._chance.uniform(0.0, 0.1) if leaves else WAIT_MS / 1000 + SLACK_SECONDS
        try:
            self._writer.write(_request(method, target, seen.request_id))
            await asyncio.wait_for(self._read_answer(seen), patience)
        except TimeoutError:
            seen.left = time.monotonic()
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            seen.ended = time.monotonic()
            self.close()
        if seen.headers.get("connection", "").lower() == "close":
            self.close()
        return seen

    def close(self) -> None:
        """Closes the connection if there is one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _connect(self) -> bool:
        """Opens the connection if there is none; returns whether it is new."""
        if self._writer is not None and not self._writer.is_closing():
            return False
        with contextlib.suppress(OSError, TimeoutError):
            opening = asyncio.open_connection(f"127.0.1.{self._instance}", fleet.CALLERS_PORT)
            self._reader, self._writer = await asyncio.wait_for(opening, 1.0)
        return True

    async def _read_answer(self, seen: Seen) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        for line in lines:
            name, _, value = line.partition(":")
            seen.headers[name.strip().lower()] = value.strip()
        length = int(seen.headers.get("content-length", "0"))
        seen.body = await self._reader.readexactly(length)
        seen.status = int(first.split(" ")[1])
        seen.ended = time.monotonic()


def _request(method: str, target: str, request_id: str) -> bytes:
    body = b"one boat" if method == "POST" else b""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {fleet.HOST_NAME}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {WAIT_MS}",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
