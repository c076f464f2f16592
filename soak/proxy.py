"""Loopback TCP proxies that inject faults, for all connections or for those of one instance."""

import asyncio
import contextlib
import dataclasses
import re
from collections.abc import Callable

from standins import broken_off, shards

CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.15
# The first bytes of a stream between instances hold the name of the instance that opened it. In a
# ``fleet.Fleet``, the name of instance N is its address 127.0.1.N.
_SOURCE_PATTERN = re.compile(rb"127\.0\.1\.(\d+)")
ANY_SOURCE = 0


@dataclasses.dataclass(eq=False)
class Connection:
    """A relayed connection.

    Attributes:
        client_writer: Writer to the process that opened the connection.
        target_writer: Writer to the target of the proxy.
        source: Number of the instance that opened the connection, or ``ANY_SOURCE``.
        is_silent: Whether the data of both directions is discarded.
    """

    client_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter
    source: int = ANY_SOURCE
    is_silent: bool = False


class Proxy:
    """Relays connections to a target.

    Args:
        target: ``host:port`` of the target.

    Attributes:
        fault_by_source: ``delay``, ``hold``, ``one_way`` or ``one_way_back``, by the number of the
            instance that opened a connection; the fault of ``ANY_SOURCE`` is for all others.
        hold_seconds: How long ``hold`` delays each chunk from the target.
        is_discarded: Returns whether a chunk towards the target, from a source, is discarded; the
            connection then stays silent.
    """

    def __init__(self, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._accept_tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.fault_by_source: dict[int, str] = {}
        self.hold_seconds = 0.0
        self.is_discarded: Callable[[bytes, int], bool] = lambda chunk, source: False

    async def start(self, host: str, port: int) -> str:
        """Starts listening and returns the address of the proxy."""
        self._server = await asyncio.start_server(self._accept, host, port)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def inject_fault(self, how: str, source: int) -> None:
        """Injects a fault into the connections of a source.

        ``reset`` resets the open connections. ``silence`` discards all further data of the open
        connections until they are closed. Until the fault is cleared, ``delay`` holds each chunk
        back for ``DELAY_SECONDS``, ``hold`` each chunk from the target for ``hold_seconds``,
        ``one_way`` discards the data towards the target and ``one_way_back`` the data from it; from
        the first discarded chunk on, a connection stays silent in both directions.

        Args:
            how: Kind of the fault.
            source: Number of the instance that opened the connections, or ``ANY_SOURCE``.
        """
        affected = [
            connection
            for connection in self._connections
            if source in (ANY_SOURCE, connection.source)
        ]
        if how == "reset":
            for connection in affected:
                for writer in (connection.client_writer, connection.target_writer):
                    _set_reset(writer)
                    writer.transport.abort()
        elif how == "silence":
            for connection in affected:
                connection.is_silent = True
        else:
            self.fault_by_source[source] = how

    def clear_fault(self, source: int) -> None:
        """Ends the fault of a source."""
        self.fault_by_source.pop(source, None)

    async def close(self) -> None:
        """Stops listening, resets all connections and waits until their tasks have ended."""
        self._server.close()
        for _ in range(shards.ACCEPT_LOOP_RUNS):
            await asyncio.sleep(0)
        while self._accept_tasks:
            for task in self._tasks:
                task.cancel()
            self.inject_fault("reset", ANY_SOURCE)
            await asyncio.wait(set(self._accept_tasks))

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accept_task = asyncio.current_task()
        self._accept_tasks.add(accept_task)
        try:
            await self._connect_and_relay(reader, writer)
        finally:
            self._accept_tasks.discard(accept_task)
            writer.transport.abort()

    async def _connect_and_relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A task of its own, so that ``close`` can cancel it without cancelling the task of the
        # accepted connection, which asyncio's streams of Python 3.11 report on standard error.
        connecting = asyncio.create_task(asyncio.open_connection(*self._target))
        self._tasks.add(connecting)
        await asyncio.wait({connecting})
        self._tasks.discard(connecting)
        if connecting.cancelled() or connecting.exception() is not None:
            return
        target_reader, target_writer = connecting.result()
        connection = Connection(writer, target_writer)
        self._connections.add(connection)
        relay_tasks = {
            asyncio.create_task(self._relay(reader, target_writer, connection, True)),
            asyncio.create_task(self._relay(target_reader, writer, connection, False)),
        }
        self._tasks |= relay_tasks
        try:
            await asyncio.wait(relay_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._tasks -= relay_tasks
            for task in relay_tasks:
                task.cancel()
            self._connections.discard(connection)
            target_writer.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: Connection,
        is_towards_target: bool,
    ) -> None:
        """Relays the data of one direction, subject to the faults, and the reset that ends it."""
        with contextlib.suppress(ConnectionError):
            while chunk := await self._read_chunk(reader, writer):
                if connection.source == ANY_SOURCE and is_towards_target:
                    match = _SOURCE_PATTERN.search(chunk)
                    connection.source = int(match[1]) if match else ANY_SOURCE
                fault = self._fault_for(connection)
                if fault == "delay":
                    await asyncio.sleep(DELAY_SECONDS)
                elif fault == "hold" and not is_towards_target:
                    await asyncio.sleep(self.hold_seconds)
                is_dropped = fault == ("one_way" if is_towards_target else "one_way_back")
                if is_towards_target and self.is_discarded(chunk, connection.source):
                    is_dropped = True
                if not connection.is_silent and not is_dropped:
                    writer.write(chunk)
                    await writer.drain()
                elif is_dropped:
                    # Neither end can use later data once bytes of the stream are missing.
                    connection.is_silent = True

    @staticmethod
    async def _read_chunk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        """Returns data to be relayed; if a reset ends it, the writer's connection is to end so."""
        try:
            return await reader.read(CHUNK_BYTES)
        except ConnectionResetError:
            _set_reset(writer)
            raise

    def _fault_for(self, connection: Connection) -> str:
        default = self.fault_by_source.get(ANY_SOURCE, "")
        return self.fault_by_source.get(connection.source, default)


def _set_reset(writer: asyncio.StreamWriter) -> None:
    """Makes the system reset a connection when it is closed, unless it is closed already."""
    if not writer.transport.is_closing():
        broken_off.set_reset(writer.get_extra_info("socket"))
