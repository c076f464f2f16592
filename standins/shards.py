"""Stand-in for the users' backend servers: records, proofs, slots and faulty replies.

Each server composes the bytes of its HTTP responses itself, so that it can also send malformed
ones.
"""

import asyncio
import dataclasses
import hashlib

from standins import broken_off, spoiled_responses

# Number and size of the records of a shard.
RECORDS = 12
RECORD_BYTES = 16
# Delay of a second copy of a reply, after which the connection is idle.
SECOND_COPY_DELAY_SECONDS = 0.02
# Runs of the event loop after which the task of a connection that was just accepted has started.
ACCEPT_LOOP_RUNS = 5


@dataclasses.dataclass
class Behaviour:
    """Behaviour of a server, which tests change.

    Attributes:
        work_seconds: Time for which a request occupies a slot.
        fault: Fault of the replies, or ``""`` for none. ``shed`` and ``wrong_server`` refuse the
            request with status 503 or 421 before it runs. After the request ran, ``lost`` closes
            and ``reset`` resets the connection without a reply, ``error`` replies with status 500,
            ``foreign_id`` with the id of another request, ``no_proof`` without a proof, ``encoded``
            with a content encoding, ``truncated`` with half of the body, ``cut_head`` with part of
            the head,
            ``second_copy`` with the same reply twice, the second time on the idle connection,
            ``control_in_value``, ``space_in_name``, ``no_colon``, ``control_in_proof`` and
            ``comma_in_proof`` with one wrong byte in a header field, ``interim_status`` with the
            status of an interim response, ``trailer`` in chunks with a field after the last one,
            ``endless_head``, ``endless_line``, ``endless_interim``, ``endless_fields``,
            ``endless_body`` and ``endless_trailer`` with bytes until the connection is closed, and
            ``not_http`` with bytes that are not HTTP. A name of ``spoiled_responses.FAULT_BY_NAME``
            changes a sound reply, and one of ``broken_off.FAULT_BY_NAME`` breaks it off.
        remaining_faults: Number of further requests that the fault affects; -1 for no limit.
        is_leaving: Whether the server says in each reply that it is leaving.
        body_bytes: Length of the replies' bodies; 0 for the records of the shard.
        closes_connection: Whether the server closes the connection after each reply.
        denies_run: Whether each reply says, although the request ran, that it did not.
    """

    work_seconds: float = 0.005
    fault: str = ""
    remaining_faults: int = -1
    is_leaving: bool = False
    body_bytes: int = 0
    closes_connection: bool = False
    denies_run: bool = False


@dataclasses.dataclass
class ReceivedRequest:
    """A request that a server has received.

    Attributes:
        request_id: Value of the header ``X-Request-Id``.
        method: Method of the request.
        target: Path and query string.
        headers: Headers as received.
        body: Body of the request.
        received_at: When the request was received, in event-loop seconds.
        ran: Whether the request received a slot and started to run.
        was_cancelled: Whether the client closed the connection before the run had ended.
        ended_at: When the run ended, in event-loop seconds; 0 if the request has not run.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float
    ran: bool = False
    was_cancelled: bool = False
    ended_at: float = 0.0


class ShardServer:
    """One backend server.

    Args:
        name: Name of the server.
        host: Address to listen on.
        port: Port to listen on; 0 for a free one.
        slots: Number of requests that may run at a time.

    Attributes:
        name: Name of the server.
        address: Address as ``HOST:PORT``.
        behaviour: Behaviour that tests may change.
        received_requests: Requests received, oldest first.
        connection_count: Number of connections accepted.
    """

    def __init__(self, name: str, host: str, port: int, slots: int):
        self.name = name
        self.address = f"{host}:{port}"
        self.behaviour = Behaviour()
        self.received_requests: list[ReceivedRequest] = []
        self.connection_count = 0
        self._host = host
        self._port = port
        self._slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writer_by_task: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def start(self) -> None:
        """Starts accepting connections."""
        self._server = await asyncio.start_server(self._serve_connection, self._host, self._port)
        self.address = f"{self._host}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Closes the listening socket; open connections stay open."""
        self._server.close()

    async def close_connections(self) -> None:
        """Closes the open connections and waits until all of them have ended.

        They are not ended by cancelling their tasks: asyncio's streams of Python 3.11 report a
        cancelled connection on standard error.
        """
        for _ in range(ACCEPT_LOOP_RUNS):
            await asyncio.sleep(0)
        while self._writer_by_task:
            for writer in self._writer_by_task.values():
                writer.transport.abort()
            await asyncio.wait(set(self._writer_by_task))

    def shard_records(self, request_id: str) -> bytes:
        """Returns the records of this server's shard, which are the same for every request."""
        # The name without its last letter is the same for both servers of a shard.
        return b"".join(
            hashlib.blake2b(
                f"{self.name[:-1]}/{number}".encode(), digest_size=RECORD_BYTES
            ).digest()
            for number in range(RECORDS)
        )

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._writer_by_task[task] = writer
        self.connection_count += 1
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            del self._writer_by_task[task]
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Receives and answers a request, and returns whether the connection stays open."""
        request = await _read_request(reader)
        self.received_requests.append(request)
        fault = self._next_fault()
        if fault in ("shed", "wrong_server"):
            writer.write(_REFUSAL_BY_FAULT[fault])
            return True
        async with self._slots:
            if reader.at_eof():
                request.was_cancelled = True
                return False
            request.ran = True
            work = asyncio.ensure_future(asyncio.sleep(self.behaviour.work_seconds))
            connection_closed = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({work, connection_closed}, return_when=asyncio.FIRST_COMPLETED)
            request.ended_at = asyncio.get_running_loop().time()
            request.was_cancelled = not work.done()
            for waiting in (work, connection_closed):
                waiting.cancel()
            await asyncio.gather(work, connection_closed, return_exceptions=True)
            if request.was_cancelled:
                return False
        if fault in ("lost", "reset"):
            if fault == "reset":
                broken_off.set_reset(writer.get_extra_info("socket"))
            writer.transport.abort()
            return False
        if fault in broken_off.FAULT_BY_NAME:
            await self._break_off(request, writer, broken_off.FAULT_BY_NAME[fault])
            return False
        writer.write(self._encode_reply(request, fault))
        await writer.drain()
        if fault == "second_copy":
            await asyncio.sleep(SECOND_COPY_DELAY_SECONDS)
            writer.write(self._encode_reply(request, fault))
        while fault in _ENDLESS_BYTES_BY_FAULT:
            writer.write(_ENDLESS_BYTES_BY_FAULT[fault])
            await writer.drain()
        is_cut = fault in ("truncated", "cut_head", "not_http")
        return not is_cut and not self.behaviour.closes_connection

    async def _break_off(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, fault: broken_off.Fault
    ) -> None:
        """Sends a part of a response, and ends the connection."""
        body = self.shard_records(request.request_id)
        writer.write(broken_off.encode(self._encode_head(request, ""), body, fault))
        await asyncio.sleep(fault.delay_seconds)
        # The client may have closed the connection meanwhile.
        if not writer.transport.is_closing():
            broken_off.prepare_end(writer.get_extra_info("socket"), fault)
            writer.transport.abort()

    def _next_fault(self) -> str:
        """Returns the fault of the next reply and decrements the number of further faults."""
        behaviour = self.behaviour
        if not behaviour.fault or behaviour.remaining_faults == 0:
            return ""
        if behaviour.remaining_faults > 0:
            behaviour.remaining_faults -= 1
        return behaviour.fault

    def _encode_reply(self, request: ReceivedRequest, fault: str) -> bytes:
        """Returns the bytes of an HTTP response with the given fault."""
        if fault in spoiled_responses.FAULT_BY_NAME:
            return spoiled_responses.spoil(self._encode_reply(request, ""), fault)
        if fault == "not_http":
            return b"\x00\x01\x02 no answer\r\n\r\n"
        head = self._encode_head(request, fault)
        body = b"x" * self.behaviour.body_bytes or self.shard_records(request.request_id)
        if fault in ("cut_head", "endless_head", "endless_line", "endless_fields"):
            return head
        if fault == "endless_interim":
            return b""
        if fault == "endless_body":
            return head + b"\r\n"
        if fault == "trailer":
            chunk = f"{len(body):x}\r\n".encode() + body + b"\r\n"
            return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\nX-End: 1\r\n\r\n"
        if fault == "endless_trailer":
            return head + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
        if fault == "truncated":
            return head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body[: len(body) // 2]
        sent_body = b"" if request.method == "HEAD" else body
        return head + f"Content-Length: {len(body)}\r\n\r\n".encode() + sent_body

    def _encode_head(self, request: ReceivedRequest, fault: str) -> bytes:
        """Returns the head of a response, without the fields that tell where the body ends."""
        status = _STATUS_BY_FAULT.get(fault, "200 OK")
        if self.behaviour.denies_run:
            status = "503 Busy"
        request_id = "another" if fault == "foreign_id" else request.request_id
        lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {request_id}"]
        if fault != "no_proof":
            separator = _PROOF_SEPARATOR_BY_FAULT.get(fault, ".")
            number = len(self.received_requests)
            lines.append(f"X-Server-Stamp: {self.name}.{request.request_id}{separator}{number}")
        if fault == "encoded":
            lines.append("Content-Encoding: gzip")
        if self.behaviour.denies_run:
            lines.append("X-Not-Run: 1")
        if self.behaviour.is_leaving:
            lines.append("Server-Leaving: 1")
        lines += ["X-Backend-Load: 0,0,2,100", _EXTRA_HEADER_BY_FAULT.get(fault, "X-Extra: kept")]
        return "\r\n".join(lines).encode() + b"\r\n"


_ENDLESS_BYTES_BY_FAULT = {
    "endless_head": b"X-Filler: " + b"x" * 4096 + b"\r\n",
    "endless_line": b"x" * 65_536,
    "endless_interim": b"HTTP/1.1 103 Early Hints\r\nX-Filler: filler\r\n\r\n" * 100,
    "endless_fields": b"a:b\r\n" * 1000,
    "endless_body": b"x" * 65_536,
    "endless_trailer": b"X-Filler: " + b"x" * 4096 + b"\r\n",
}
_STATUS_BY_FAULT = {"error": "500 Internal Server Error", "interim_status": "101 Switching"}
_PROOF_SEPARATOR_BY_FAULT = {"comma_in_proof": ",", "control_in_proof": "\x01"}
_EXTRA_HEADER_BY_FAULT = {
    "control_in_value": "X-Extra: ke\x01t",
    "space_in_name": "X- xtra: kept",
    "no_colon": "X-Extra kept",
}
_REFUSAL_BY_FAULT = {
    "shed": b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "wrong_server": b"HTTP/1.1 421 Wrong\r\nX-Instance: i-x\r\nContent-Length: 0\r\n\r\n",
}


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Reads a request; a body must be sent with a ``Content-Length``."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *header_lines = head.strip().split("\r\n")
    method, target, _ = request_line.split(" ")
    headers = {}
    for line in header_lines:
        name, _, value = line.partition(":")
        headers[name.strip()] = value.strip()
    value_by_lower_name = {name.lower(): value for name, value in headers.items()}
    body = await reader.readexactly(int(value_by_lower_name.get("content-length", "0")))
    received_at = asyncio.get_running_loop().time()
    return ReceivedRequest(
        value_by_lower_name.get("x-request-id", ""), method, target, headers, body, received_at
    )
