"""Stand-in for the users' backend servers: parts, proofs, slots, and faulty answers.

Each server writes its answers byte by byte, so that it can also write wrong ones.
"""

import asyncio
import dataclasses
import hashlib

RECORDS = 12
RECORD_BYTES = 16


@dataclasses.dataclass
class Behaviour:
    """How a server behaves.

    Attributes:
        work_seconds: Time of a request in a slot.
        fault: ``""``, or one of ``foreign_id``, ``truncated``, ``lost``, ``shed``,
            ``wrong_server``, ``error``, ``encoded``, ``no_proof`` and ``not_http``.
        times: How often the fault strikes before it is over; -1 for ever.
    """

    work_seconds: float = 0.005
    fault: str = ""
    times: int = -1


@dataclasses.dataclass
class Seen:
    """A request that a server has read; times are the event loop's, in seconds."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float
    ran: bool = False
    was_cut: bool = False
    ended: float = 0.0


class ShardServer:
    """One backend server.

    Args:
        name: Name of the server.
        host: Address to listen on.
        port: Port to listen on.
        slots: Requests worked on at a time.

    Attributes:
        behaviour: How it behaves.
        seen: Requests read.
    """

    def __init__(self, name: str, host: str, port: int, slots: int):
        self.name = name
        self.address = f"{host}:{port}"
        self.behaviour = Behaviour()
        self.seen: list[Seen] = []
        self._host = host
        self._port = port
        self._slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts answering."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    def stop(self) -> None:
        """Stops listening, as a crash does."""
        self._server.close()

    def part(self, request_id: str) -> bytes:
        """Returns the records of this server's shard for a request."""
        return b"".join(
            hashlib.blake2b(
                f"{self.name[:-1]}/{number}".encode(), digest_size=RECORD_BYTES
            ).digest()
            for number in range(RECORDS)
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answers one request; returns whether the connection stays open."""
        seen = await _read_request(reader)
        self.seen.append(seen)
        fault = self._take_fault()
        if fault in ("shed", "wrong_server"):
            writer.write(_REFUSALS[fault])
            return True
        async with self._slots:
            if reader.at_eof():
                seen.was_cut = True
                return False
            seen.ran = True
            working = asyncio.ensure_future(asyncio.sleep(self.behaviour.work_seconds))
            closing = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({working, closing}, return_when=asyncio.FIRST_COMPLETED)
            seen.ended = asyncio.get_running_loop().time()
            if not working.done():
                working.cancel()
                seen.was_cut = True
                return False
            closing.cancel()
            await asyncio.gather(closing, return_exceptions=True)
        if fault == "lost":
            writer.transport.abort()
            return False
        writer.write(self._answer(seen, fault))
        await writer.drain()
        return fault not in ("truncated", "not_http")

    def _take_fault(self) -> str:
        behaviour = self.behaviour
        if not behaviour.fault or behaviour.times == 0:
            return ""
        if behaviour.times > 0:
            behaviour.times -= 1
        return behaviour.fault

    def _answer(self, seen: Seen, fault: str) -> bytes:
        """Returns the bytes of an answer."""
        if fault == "not_http":
            return b"\x00\x01\x02 no answer\r\n\r\n"
        body = self.part(seen.request_id)
        status = "500 Internal Server Error" if fault == "error" else "200 OK"
        request_id = "another" if fault == "foreign_id" else seen.request_id
        lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {request_id}"]
        if fault != "no_proof":
            lines.append(f"X-Server-Stamp: {self.name}.{seen.request_id}.{len(self.seen)}")
        if fault == "encoded":
            lines.append("Content-Encoding: gzip")
        lines += ["X-Backend-Load: 0,0,2", "X-Extra: kept", f"Content-Length: {len(body)}"]
        if fault == "truncated":
            body = body[: len(body) // 2]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


_REFUSALS = {
    "shed": b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "wrong_server": b"HTTP/1.1 421 Wrong\r\nX-Instance: i-x\r\nContent-Length: 0\r\n\r\n",
}


async def _read_request(reader: asyncio.StreamReader) -> Seen:
    """Reads one request with a length, or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip()] = value.strip()
    lowered = {name.lower(): value for name, value in headers.items()}
    body = await reader.readexactly(int(lowered.get("content-length", "0")))
    at = asyncio.get_running_loop().time()
    return Seen(lowered.get("x-request-id", ""), method, target, headers, body, at)
