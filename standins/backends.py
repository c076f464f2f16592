"""Stand-in for backend servers: slots, connections, snapshots, shedding and draining.

Usage: ``python -m standins.backends --pool NAME=FILE ... [--median-ms N] [--seed N]``.
One process serves all servers of the given pools at the addresses in the tables.
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
from standins import index

MS_PER_SECOND = 1000
SIGMA = 0.25


class Behaviour(msgspec.Struct):
    """How a server behaves; changed by ``PUT /control``.

    Attributes:
        median_ms: Median of the working time.
        straggle_share: Share of calls that straggle.
        straggle_ms: Working time of a straggling call.
        slow_factor: Factor on all working times.
        queue: Calls that may wait for a slot before further ones are shed.
        snapshots: Snapshots held, newest last.
        draining: Whether the server is leaving and says so.
        lost: Whether the server accepts calls and never answers.
    """

    median_ms: float = 8.0
    straggle_share: float = 0.0
    straggle_ms: float = 200.0
    slow_factor: float = 1.0
    queue: int = 2
    snapshots: list[int] = msgspec.field(default_factory=lambda: [1])
    draining: bool = False
    lost: bool = False


class Journal(msgspec.Struct):
    """What a server has seen; read by ``GET /control``.

    Attributes:
        calls: Calls received.
        ran: Calls that began to work.
        shed: Calls refused for load.
        cancelled: Calls cancelled while working or waiting.
        draining_refused: Calls refused because the server is leaving.
        busy_peak: Most calls at work at a time.
        present_peak: Most calls at work or waiting at a time.
        connections_peak: Most open connections.
        connections_opened: Connections opened in all.
        connections_refused: Connections above the limit.
        executed: Texts of non-repeatable work, each time it began.
        last_new_work: Event-loop time at which the last call began to work.
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
        journal: What it has seen.
        behaviour: How it behaves.
    """

    def initialize(
        self,
        record: data.Server,
        key_space: int,
        shard: int,
        shards: int,
        behaviour: Behaviour,
        seed: int,
    ) -> None:
        """Takes the server's record, its place in the pool and its behaviour."""
        super().initialize(self._take_request)
        self.record = record
        self.journal = Journal()
        self.behaviour = behaviour
        self._key_space = key_space
        self._shard = shard
        self._shards = shards
        self._random = random.Random(f"{seed}/{record.server_id}")
        self._busy = 0
        self._waiting: list[asyncio.Future[None]] = []
        self._task_by_call: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Counts connections and refuses those above the limit."""
        self.journal.connections_opened += 1
        # The set of open connections is kept by the base class.
        if len(self._connections) >= self.record.connections:
            self.journal.connections_refused += 1
            stream.close()
            return
        super().handle_stream(stream, address)
        peak = max(self.journal.connections_peak, len(self._connections))
        self.journal.connections_peak = peak

    def _take_request(self, request: httputil.HTTPServerRequest) -> None:
        if request.path == "/v1/search":
            body = msgspec.json.decode(request.body, type=protocol.SearchBody)
            task = asyncio.ensure_future(self._search(request, body))
            self._tasks.add(task)
            self._task_by_call[body.call] = task
            task.add_done_callback(lambda done: self._forget(body.call, done))
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
            _respond(request, 200, msgspec.json.encode(self.journal))

    def _forget(self, call: str, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._task_by_call.pop(call, None)

    async def _search(self, request: httputil.HTTPServerRequest, body: protocol.SearchBody) -> None:
        self.journal.calls += 1
        if self.behaviour.lost:
            return
        try:
            async with asyncio.timeout(body.deadline_ms / MS_PER_SECOND):
                await self._work(request, body)
        except TimeoutError:
            _respond(request, 408, b"{}")
        except asyncio.CancelledError:
            self.journal.cancelled += 1
            _respond(request, protocol.STATUS_CANCELLED, b"{}")

    async def _work(self, request: httputil.HTTPServerRequest, body: protocol.SearchBody) -> None:
        refusal = self._refusal(body)
        if refusal:
            reply = protocol.RefusalReply(refusal, self._holdings())
            _respond(request, protocol.STATUS_REFUSED, msgspec.json.encode(reply))
            return
        await self._take_slot()
        try:
            self._note_start(body)
            snapshot = body.snapshot or max(self.behaviour.snapshots)
            await asyncio.sleep(self._working_seconds())
        finally:
            self._give_slot()
        _respond(request, protocol.STATUS_OK, msgspec.json.encode(self._reply(body, snapshot)))

    def _refusal(self, body: protocol.SearchBody) -> str:
        """Returns the word for a refusal, or an empty string."""
        if self.behaviour.draining:
            self.journal.draining_refused += 1
            return "draining"
        if body.snapshot and body.snapshot not in self.behaviour.snapshots:
            return "snapshot_gone"
        if self._busy + len(self._waiting) >= self.record.slots + self.behaviour.queue:
            self.journal.shed += 1
            return "shed"
        return ""

    async def _take_slot(self) -> None:
        present = self._busy + len(self._waiting) + 1
        self.journal.present_peak = max(self.journal.present_peak, present)
        if self._busy >= self.record.slots:
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if turn in self._waiting:
                    self._waiting.remove(turn)
                elif turn.done() and not turn.cancelled():
                    self._give_slot()
                raise
        else:
            self._busy += 1
        self.journal.busy_peak = max(self.journal.busy_peak, self._busy)

    def _give_slot(self) -> None:
        """Hands the slot to the next waiting call, or frees it."""
        while self._waiting:
            turn = self._waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self._busy -= 1

    def _note_start(self, body: protocol.SearchBody) -> None:
        self.journal.ran += 1
        self.journal.last_new_work = asyncio.get_running_loop().time()
        if not body.repeatable:
            self.journal.executed.append(body.query)

    def _working_seconds(self) -> float:
        behaviour = self.behaviour
        if self._random.random() < behaviour.straggle_share:
            return behaviour.straggle_ms / MS_PER_SECOND
        work_ms = behaviour.median_ms * math.exp(self._random.gauss(0.0, SIGMA))
        return work_ms * behaviour.slow_factor / MS_PER_SECOND

    def _reply(self, body: protocol.SearchBody, snapshot: int) -> protocol.SearchReply:
        keys = index.key_range(self._key_space, self._shard, self._shards, snapshot)
        found = index.results(self.record.service, keys, snapshot, body.query, body.limit)
        return protocol.SearchReply(
            data.Snapshot(snapshot), keys, self._holdings(), found, self.behaviour.draining
        )

    def _holdings(self) -> tuple[data.Holding, ...]:
        return tuple(
            data.Holding(
                data.Snapshot(snapshot),
                index.key_range(self._key_space, self._shard, self._shards, snapshot),
            )
            for snapshot in self.behaviour.snapshots
        )


def _respond(request: httputil.HTTPServerRequest, status: int, body: bytes) -> None:
    connection = request.connection
    if connection.stream is None or connection.stream.closed():
        return
    headers = httputil.HTTPHeaders(
        {"Content-Length": str(len(body)), "Content-Type": "application/json"}
    )
    start = httputil.ResponseStartLine("HTTP/1.1", status, "x")
    connection.write_headers(start, headers, body)
    connection.finish()


def make_servers(part: pools.PoolPart, behaviour: Behaviour, seed: int) -> list[BackendServer]:
    """Returns a server for each row of a pool's table; they do not listen yet."""
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
    for spec in options.pool:
        name, _, file = spec.partition("=")
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
    """Serves until ended."""
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
