"""Loopback proxies on the event loop, with faults for each source of connections."""

import asyncio
import contextlib
import dataclasses
import re

CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.15
# The first bytes of an instance stream hold the name of the instance that opened it.
_SOURCE = re.compile(rb"127\.0\.1\.(\d+)")
ANY_SOURCE = 0


@dataclasses.dataclass(eq=False)
class Connection:
    """A relayed connection; ``source`` is the number of the instance that opened it."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    source: int = ANY_SOURCE
    is_silent: bool = False


class Proxy:
    """Passes connections on to a target.

    Args:
        target: ``host:port`` of the target.

    Attributes:
        fault_by_source: ``delay``, ``one_way`` or ``silence``, by the number of the instance
            that opened a connection; ``ANY_SOURCE`` is for all.
    """

    def __init__(self, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.fault_by_source: dict[int, str] = {}

    async def start(self, host: str, port: int) -> str:
        """Starts listening; returns its own address."""
        self._server = await asyncio.start_server(self._accept, host, port)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def strike(self, how: str, source: int) -> None:
        """Brings about a fault for a source; ``reset`` is over at once.

        Open connections that are silenced stay silent for good; new ones work.
        """
        concerned = [
            connection
            for connection in self._connections
            if source in (ANY_SOURCE, connection.source)
        ]
        if how == "reset":
            for connection in concerned:
                connection.near.transport.abort()
                connection.far.transport.abort()
        elif how == "silence":
            for connection in concerned:
                connection.is_silent = True
        else:
            self.fault_by_source[source] = how

    def mend(self, source: int) -> None:
        """Ends the lasting fault of a source."""
        self.fault_by_source.pop(source, None)

    def close(self) -> None:
        """Stops listening and ends all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self.strike("reset", ANY_SOURCE)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except BaseException as error:
            # Includes the cancellation when the deployment stops while the target is dialled.
            writer.transport.abort()
            if isinstance(error, OSError):
                return
            raise
        connection = Connection(writer, far_writer)
        self._connections.add(connection)
        pumps = {
            asyncio.create_task(self._pump(reader, far_writer, connection, True)),
            asyncio.create_task(self._pump(far_reader, writer, connection, False)),
        }
        self._tasks |= pumps
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._tasks -= pumps
            for pump in pumps:
                pump.cancel()
            self._connections.discard(connection)
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: Connection,
        is_towards_target: bool,
    ) -> None:
        """Passes on what one end sends, as the faults allow."""
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(CHUNK_BYTES):
                if connection.source == ANY_SOURCE and is_towards_target:
                    found = _SOURCE.search(chunk)
                    connection.source = int(found[1]) if found else ANY_SOURCE
                fault = self._fault(connection)
                if fault == "delay":
                    await asyncio.sleep(DELAY_SECONDS)
                is_dropped = fault == "one_way" and is_towards_target
                if not connection.is_silent and not is_dropped:
                    writer.write(chunk)
                    await writer.drain()
                elif is_dropped:
                    # What follows a hole in a stream cannot be passed on.
                    connection.is_silent = True

    def _fault(self, connection: Connection) -> str:
        every = self.fault_by_source.get(ANY_SOURCE, "")
        return self.fault_by_source.get(connection.source, every)
