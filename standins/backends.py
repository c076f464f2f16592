"""Stand-in for backend servers of the native dialect: JSON search requests over HTTP.

Usage: ``python -m standins.backends --pool NAME=FILE ... [--median-ms N] [--seed N]``.
One process runs all servers of the given pools at the addresses in their tables; with
``--parts N --part I`` it runs every N-th server, beginning with the one at index I. A server limits
its slots and connections, sheds load, drains, and holds several snapshots of its index.
"""

import argparse
import asyncio
import math
import pathlib
import random

import msgspec
from tornado import httpserver, httputil, iostream

from monsoonhoist.core import data
from monsoonhoist.node import search as protocol
from monsoonhoist.tables import pools
from standins import broken_off, index, spoiled_responses

MS_PER_SECOND = 1000
# Standard deviation of the logarithm of the work time, which is log-normally distributed.
WORK_TIME_SIGMA = 0.25


class Behaviour(msgspec.Struct):
    """Behaviour of a server, which ``PUT /control`` changes.

    Attributes:
        median_ms: Median of the work time.
        straggle_share: Share of calls that are stragglers, from 0 to 1.
        straggle_ms: Work time of a straggler.
        slow_factor: Factor applied to the work times of all other calls.
        queue: Number of calls that may wait for a slot; further ones are shed.
        snapshots: Numbers of the snapshots held, newest last.
        draining: Whether the server is draining: it refuses new calls and reports so in its
            replies.
        lost: Whether the server accepts calls but never replies.
        fault: Fault of the replies to searches, a name of ``spoiled_responses.FAULT_BY_NAME`` or of
            ``broken_off.FAULT_BY_NAME``, or empty for none. The connection is closed after each
            faulty reply.
    """

    median_ms: float = 8.0
    straggle_share: float = 0.0
    straggle_ms: float = 200.0
    slow_factor: float = 1.0
    queue: int = 2
    snapshots: list[int] = msgspec.field(default_factory=lambda: [1])
    draining: bool = False
    lost: bool = False
    fault: str = ""


class Statistics(msgspec.Struct):
    """Counters of a server, which ``GET /control`` returns.

    Attributes:
        calls: Number of calls received.
        ran: Number of calls that received a slot and started to run.
        shed: Number of calls refused because all slots and the queue were full.
        cancelled: Number of calls cancelled while they ran or waited.
        draining_refused: Number of calls refused because the server was draining.
        busy_peak: Highest number of calls that ran at a time.
        present_peak: Highest number of calls that ran or waited at a time.
        connections_peak: Highest number of open connections.
        connections_opened: Number of connections opened.
        connections_refused: Number of connections closed because the limit was reached.
        executed: Query text of each non-repeatable call that started to run.
        last_new_work: When the latest call started to run, in event-loop seconds.
    """

    calls: int = 0
    ran: int = 0
    shed: int = 0
    cancelled: int = 0
    draining_refused: int = 0
    busy_peak: int = 0
    present_peak: int = 0
    connections_peak: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    executed: list[str] = msgspec.field(default_factory=list)
    last_new_work: float = 0.0


class BackendServer(httpserver.HTTPServer):
    """One backend server.

    Attributes:
        record: The server's record in the table of its pool.
        statistics: Counters of calls and connections.
        behaviour: Behaviour that tests may change.
    """

    def initialize(
        self,
        record: data.Server,
        key_space: int,
        shard: int,
        shard_count: int,
        behaviour: Behaviour,
        seed: int,
    ) -> None:
        """Initialises the server; the base class calls this with the constructor's arguments.

        Args:
            record: The server's record in the table of its pool.
            key_space: Number of keys of the pool.
            shard: Index of the server's shard, from 0.
            shard_count: Number of shards of the pool.
            behaviour: Initial behaviour.
            seed: Seed of the random work times.
        """
        super().initialize(self._handle_request)
        self.record = record
        self.statistics = Statistics()
        self.behaviour = behaviour
        self._key_space = key_space
        self._shard = shard
        self._shard_count = shard_count
        self._random = random.Random(f"{seed}/{record.server_id}")
        self._busy_slots = 0
        self._waiting: list[asyncio.Future[None]] = []
        self._task_by_call: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Counts connections and closes those above the limit."""
        self.statistics.connections_opened += 1
        # The base class maintains the set of open connections, ``_connections``.
        if len(self._connections) >= self.record.connections:
            self.statistics.connections_refused += 1
            stream.close()
            return
        super().handle_stream(stream, address)
        peak = max(self.statistics.connections_peak, len(self._connections))
        self.statistics.connections_peak = peak

    def _handle_request(self, request: httputil.HTTPServerRequest) -> None:
        if request.path == "/v1/search":
            body = msgspec.json.decode(request.body, type=protocol.SearchBody)
            task = asyncio.ensure_future(self._handle_search(request, body))
            self._tasks.add(task)
            self._task_by_call[body.call] = task
            task.add_done_callback(lambda ended: self._remove_task(body.call, ended))
        elif request.method == "DELETE":
            task = self._task_by_call.get(request.path.rsplit("/", 1)[1])
            if task is not None and not self.behaviour.lost:
                task.cancel()
            _respond(request, 200, b"{}")
        elif request.path == "/control" and request.method == "PUT":
            changes = msgspec.json.decode(request.body)
            for name, value in changes.items():
                setattr(self.behaviour, name, value)
            _respond(request, 200, b"{}")
        else:
            _respond(request, 200, msgspec.json.encode(self.statistics))

    def _remove_task(self, call: str, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._task_by_call.pop(call, None)

    async def _handle_search(
        self, request: httputil.HTTPServerRequest, body: protocol.SearchBody
    ) -> None:
        self.statistics.calls += 1
        if self.behaviour.lost:
            return
        try:
            async with asyncio.timeout(body.deadline_ms / MS_PER_SECOND):
                await self._run_search(request, body)
        except TimeoutError:
            _respond(request, 408, b"{}")
        except asyncio.CancelledError:
            self.statistics.cancelled += 1
            _respond(request, protocol.STATUS_CANCELLED, b"{}")

    async def _run_search(
        self, request: httputil.HTTPServerRequest, body: protocol.SearchBody
    ) -> None:
        refusal = self._refusal_code(body)
        if refusal:
            reply = protocol.RefusalReply(refusal, self._holdings())
            _respond(request, protocol.STATUS_REFUSED, msgspec.json.encode(reply))
            return
        await self._acquire_slot()
        try:
            self._record_start(body)
            snapshot = body.snapshot or max(self.behaviour.snapshots)
            await asyncio.sleep(self._sample_work_seconds())
        finally:
            self._release_slot()
        reply = msgspec.json.encode(self._make_reply(body, snapshot))
        if self.behaviour.fault:
            await _respond_spoiled(request, reply, self.behaviour.fault)
        else:
            _respond(request, protocol.STATUS_OK, reply)

    def _refusal_code(self, body: protocol.SearchBody) -> str:
        """Returns the code of the reason to refuse a call, or an empty string to accept it."""
        if self.behaviour.draining:
            self.statistics.draining_refused += 1
            return "draining"
        if body.snapshot and body.snapshot not in self.behaviour.snapshots:
            return "snapshot_gone"
        if self._busy_slots + len(self._waiting) >= self.record.slots + self.behaviour.queue:
            self.statistics.shed += 1
            return "shed"
        return ""

    async def _acquire_slot(self) -> None:
        """Waits for a slot in order of arrival."""
        accepted_calls = self._busy_slots + len(self._waiting) + 1
        self.statistics.present_peak = max(self.statistics.present_peak, accepted_calls)
        if self._busy_slots >= self.record.slots:
            slot_granted = asyncio.get_running_loop().create_future()
            self._waiting.append(slot_granted)
            try:
                await slot_granted
            except asyncio.CancelledError:
                if slot_granted in self._waiting:
                    self._waiting.remove(slot_granted)
                elif slot_granted.done() and not slot_granted.cancelled():
                    self._release_slot()
                raise
        else:
            self._busy_slots += 1
        self.statistics.busy_peak = max(self.statistics.busy_peak, self._busy_slots)

    def _release_slot(self) -> None:
        """Passes the slot to the next waiting call, or frees it if none is waiting."""
        while self._waiting:
            slot_granted = self._waiting.pop(0)
            if not slot_granted.done():
                slot_granted.set_result(None)
                return
        self._busy_slots -= 1

    def _record_start(self, body: protocol.SearchBody) -> None:
        self.statistics.ran += 1
        self.statistics.last_new_work = asyncio.get_running_loop().time()
        if not body.repeatable:
            self.statistics.executed.append(body.query)

    def _sample_work_seconds(self) -> float:
        """Returns a random work time."""
        behaviour = self.behaviour
        if self._random.random() < behaviour.straggle_share:
            return behaviour.straggle_ms / MS_PER_SECOND
        work_ms = behaviour.median_ms * math.exp(self._random.gauss(0.0, WORK_TIME_SIGMA))
        return work_ms * behaviour.slow_factor / MS_PER_SECOND

    def _make_reply(self, body: protocol.SearchBody, snapshot: int) -> protocol.SearchReply:
        keys = index.key_range(self._key_space, self._shard, self._shard_count, snapshot)
        found_results = index.results(self.record.service, keys, snapshot, body.query, body.limit)
        return protocol.SearchReply(
            data.Snapshot(snapshot), keys, self._holdings(), found_results, self.behaviour.draining
        )

    def _holdings(self) -> tuple[data.Holding, ...]:
        """Returns the snapshots held, each with the key range of this server's shard."""
        return tuple(
            data.Holding(
                data.Snapshot(snapshot),
                index.key_range(self._key_space, self._shard, self._shard_count, snapshot),
            )
            for snapshot in self.behaviour.snapshots
        )


def _respond(request: httputil.HTTPServerRequest, status: int, body: bytes) -> None:
    """Sends a response, unless the client has closed the connection."""
    connection = request.connection
    if connection.stream is None or connection.stream.closed():
        return
    headers = httputil.HTTPHeaders(
        {"Content-Length": str(len(body)), "Content-Type": "application/json"}
    )
    start = httputil.ResponseStartLine("HTTP/1.1", status, "x")
    connection.write_headers(start, headers, body)
    connection.finish()


async def _respond_spoiled(request: httputil.HTTPServerRequest, body: bytes, fault: str) -> None:
    """Sends a response with a fault, and closes the connection."""
    stream = request.connection.stream
    if stream is None or stream.closed():
        return
    fields = b"HTTP/1.1 200 OK\r\n" + spoiled_responses.FIELD + b"\r\n"
    if fault in broken_off.FAULT_BY_NAME:
        await _break_off(stream, fields, body, broken_off.FAULT_BY_NAME[fault])
        return
    response = fields + b"Content-Length: %d\r\n\r\n" % len(body) + body
    await stream.write(spoiled_responses.spoil(response, fault))
    stream.close()


async def _break_off(
    stream: iostream.IOStream, fields: bytes, body: bytes, fault: broken_off.Fault
) -> None:
    """Sends a part of a response, and ends the connection."""
    await stream.write(broken_off.encode(fields, body, fault))
    await asyncio.sleep(fault.delay_seconds)
    if not stream.closed():
        broken_off.prepare_end(stream.socket, fault)
        stream.close()


def make_servers(part: pools.PoolPart, behaviour: Behaviour, seed: int) -> list[BackendServer]:
    """Returns a server for each record of a pool's table; the servers do not listen yet."""
    services = sorted({record.service for record in part.servers})
    return [
        BackendServer(
            record,
            part.key_space,
            services.index(record.service),
            len(services),
            msgspec.structs.replace(behaviour, snapshots=list(behaviour.snapshots)),
            seed,
        )
        for record in part.servers
    ]


async def _serve(options: argparse.Namespace) -> None:
    for pool_argument in options.pool:
        name, _, file = pool_argument.partition("=")
        text = pathlib.Path(file).read_text(encoding="utf-8")
        part = pools.parse(data.TableKey(f"{pools.KEY_PREFIX}{name}"), file, text)
        behaviour = Behaviour(
            median_ms=options.median_ms,
            straggle_share=options.straggle_share,
            straggle_ms=options.straggle_ms,
        )
        servers = make_servers(part, behaviour, options.seed)
        for server in servers[options.part :: options.parts]:
            host, _, port = server.record.address.rpartition(":")
            server.listen(int(port), address=host, backlog=512)
    await asyncio.Event().wait()


def main() -> None:
    """Runs the servers until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pool", action="append", required=True)
    parser.add_argument("--part", type=int, default=0)
    parser.add_argument("--parts", type=int, default=1)
    parser.add_argument("--median-ms", type=float, default=8.0)
    parser.add_argument("--straggle-share", type=float, default=0.0)
    parser.add_argument("--straggle-ms", type=float, default=200.0)
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
