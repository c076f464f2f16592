"""Task that opens connections to backend servers before the first calls."""

import asyncio
import collections
import logging
from collections.abc import Callable

from monsoonhoist.core import data, events, warming
from monsoonhoist.node import backends, curl, task
from monsoonhoist.policy import ownership

# Interval between two connections. The instances of all cells start together; the interval
# leaves the servers' slots free for callers' requests in between.
CONNECT_SPACING_SECONDS = 0.02

_log = logging.getLogger(__name__)


class ConnectionWarmUp(task.Task[events.ViewChanged]):
    """Opens a connection to each server that ``warming`` selects, by calling its health check.

    A server is called once while it stays selected. Its connection stays open for the calls that
    follow.

    Args:
        instance: This instance.
        ownership_policy: Chooses the instances that call the servers of a shard.
        protocol: Protocol of the servers.
        driver: HTTP client.
    """

    def __init__(
        self,
        instance: data.InstanceId,
        ownership_policy: ownership.Ownership,
        protocol: backends.Protocol,
        driver: curl.CurlDriver,
    ):
        super().__init__()
        self._instance = instance
        self._ownership_policy = ownership_policy
        self._protocol = protocol
        self._driver = driver
        self._selected_addresses: set[str] = set()
        self._pending_servers: collections.deque[data.Server] = collections.deque()
        self._task: asyncio.Task[None] | None = None

    def stop(self) -> None:
        """Stops the task; calls in flight end when the driver is closed."""
        super().stop()
        if self._task is not None:
            self._task.cancel()

    def handle(self, message: events.ViewChanged) -> None:
        """Queues the servers that this instance is to call and has not connected to."""
        servers = warming.servers_to_connect(message, self._instance, self._ownership_policy)
        self._pending_servers.extend(
            server for server in servers if server.address not in self._selected_addresses
        )
        self._selected_addresses = {server.address for server in servers}
        if self._pending_servers and (self._task is None or self._task.done()):
            self._task = asyncio.create_task(self._run(), name="warm-up")

    async def _run(self) -> None:
        while self._pending_servers:
            server = self._pending_servers.popleft()
            call = self._protocol.make_health_check(server)
            if call is not None:
                self._driver.start(call, _make_callback(server))
                await asyncio.sleep(CONNECT_SPACING_SECONDS)


def _make_callback(server: data.Server) -> Callable[[curl.HttpReply], None]:
    """Returns a callback that logs a failed connection.

    The failure is not recorded for the server, whose health depends on the owner's calls only.
    """

    def log_failure(reply: curl.HttpReply) -> None:
        if not reply.status:
            extra = {"server": server.server_id, "error": reply.error}
            _log.info("connection not opened ahead", extra=extra)

    return log_failure
