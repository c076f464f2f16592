"""Task that opens connections to backend servers before the first calls."""

import asyncio
import collections
import functools
import logging
from collections.abc import Callable

from monsoonhoist.core import data, exchange
from monsoonhoist.fleet import warming
from monsoonhoist.kernels import kernel
from monsoonhoist.node import backends, curl, http_call, task
from monsoonhoist.protocol import events

# Interval between two connections. The instances of all cells start together; the interval
# leaves the servers' slots free for callers' requests in between.
CONNECT_SPACING_SECONDS = 0.02
# A server that is selected again within this time still has the connection.
CHECK_INTERVAL_SECONDS = 30.0

_log = logging.getLogger(__name__)


class ConnectionWarmUp(task.Task[events.ViewChanged]):
    """Opens a connection to each server that ``warming`` selects, by calling its health check.

    Its connection stays open for the calls that follow.

    Args:
        instance: This instance.
        local_kernel: Its kernel, which chooses the servers and may defer health checks.
        protocol: Protocol of the servers.
        driver: HTTP client.
        report: Receives what servers say about themselves.
    """

    def __init__(
        self,
        instance: data.InstanceId,
        local_kernel: kernel.Kernel,
        protocol: backends.Protocol,
        driver: curl.CurlDriver,
        report: Callable[[events.ServerReported], None],
    ):
        super().__init__()
        self._instance = instance
        self._kernel = local_kernel
        self._protocol = protocol
        self._driver = driver
        self._report = report
        self._checked_at_by_address: dict[str, float] = {}
        self._pending_servers: collections.deque[data.Server] = collections.deque()
        self._task: asyncio.Task[None] | None = None

    def stop(self) -> None:
        """Stops the task; calls in flight end when the driver is closed."""
        super().stop()
        if self._task is not None:
            self._task.cancel()

    def handle(self, message: events.ViewChanged) -> None:
        """Queues the servers that this instance is to call and has not connected to."""
        servers = warming.servers_to_connect(message, self._instance, self._kernel.ownership)
        now = asyncio.get_running_loop().time()
        self._checked_at_by_address = {
            address: checked_at
            for address, checked_at in self._checked_at_by_address.items()
            if now - checked_at < CHECK_INTERVAL_SECONDS
        }
        evacuated_zones = message.tables.evacuated_zones
        if evacuated_zones:
            self._pending_servers = collections.deque(
                server for server in self._pending_servers if server.zone not in evacuated_zones
            )
        for server in servers:
            if server.address not in self._checked_at_by_address:
                self._checked_at_by_address[server.address] = now
                self._pending_servers.append(server)
        if self._pending_servers and (self._task is None or self._task.done()):
            self._task = asyncio.create_task(self._run(), name="warm-up")

    async def _run(self) -> None:
        while self._pending_servers:
            server = self._pending_servers.popleft()
            call = self._protocol.make_health_check(server)
            if call is not None and self._kernel.owner.reports.may_check(server):
                self._driver.start(call, functools.partial(self._handle_reply, server))
                await asyncio.sleep(CONNECT_SPACING_SECONDS)

    def _handle_reply(self, server: data.Server, reply: http_call.HttpReply) -> None:
        """Reports what the server says about itself, or logs that the connection failed.

        The failure is not recorded for the server, whose health depends on the owner's calls only.
        """
        if not reply.status:
            extra = {"server": server.server_id, "error": reply.error}
            _log.info("connection not opened ahead", extra=extra)
            return
        report = self._protocol.read_report(reply)
        if report != exchange.NO_REPORT:
            self._report(events.ServerReported(server, report))
