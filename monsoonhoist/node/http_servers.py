"""HTTP server that sends its last answers before it closes."""

import asyncio
import logging

from tornado import httpserver, httputil, iostream

from monsoonhoist.node import caller_connections, caller_options

# Interval at which a server that closes checks whether its answers have been sent.
FLUSH_CHECK_SECONDS = 0.01

_log = logging.getLogger(__name__)


class FlushingServer(httpserver.HTTPServer):
    """HTTP server that closes its connections once what was written on them has been sent."""

    def initialize(
        self, *args: object, callers: caller_connections.CallerConnections, **kwargs: object
    ) -> None:
        """Creates the server; the arguments are those of Tornado's, and the callers' connections.

        Limits of sizes and times are those of ``callers``.
        """
        self._open_connections: set[object] = set()
        self._callers = callers
        super().initialize(*args, max_body_size=caller_options.BODY_BYTES_MAX, **kwargs)

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Serves a new connection."""
        super().handle_stream(self._callers.adopt(stream), address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Registers the connection of a request, before the request is read."""
        self._open_connections.add(server_conn)
        options = self._callers.options
        # Tornado's timeout covers the idle time and the head; the head has a check of its own.
        self.conn_params.header_timeout = options.idle_seconds_max() + options.head_seconds_max()
        self.conn_params.max_header_size = options.head_bytes_max()
        delegate = super().start_request(server_conn, request_conn)
        return self._callers.begin_message(server_conn.stream, request_conn, delegate)

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection."""
        self._open_connections.discard(server_conn)
        super().on_close(server_conn)

    async def flush_and_close(self, flush_seconds: float) -> None:
        """Stops listening, and closes all connections once their answers are sent.

        Args:
            flush_seconds: Most time to wait for callers to receive their answers, in seconds.
        """
        self.stop()
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + flush_seconds
        while (unsent := self._count_unsent()) and loop.time() < ends_at:
            await asyncio.sleep(FLUSH_CHECK_SECONDS)
        if unsent:
            _log.error("answers cut at the end", extra={"count": unsent})
        await self.close_all_connections()

    def _count_unsent(self) -> int:
        return sum(connection.stream.writing() for connection in self._open_connections)
