"""Task that opens connections to backend servers ahead of the first calls."""

import asyncio
import collections
import logging
from collections.abc import Callable

from monsoonhoist.core import data, events, warming
from monsoonhoist.node import backends, curl, task
from monsoonhoist.policy import ownership

# Pause between two connections, so that the instances of all cells, which start together,
# leave the servers' slots to callers in between.
SPACING_SECONDS = 0.02

_log = logging.getLogger(__name__)


class WarmUp(task.Task[events.ViewChanged]):
    """Calls the health check of each server of this instance's share once.

    The connection stays open for the calls that follow.

    Args:
        myself: This instance.
        owners: Chooses the instances that call the servers of a shard.
        protocol: How the servers are spoken to.
        driver: HTTP client.
    """

    def __init__(
        self,
        myself: data.InstanceId,
        owners: ownership.Ownership,
        protocol: backends.Protocol,
        driver: curl.CurlDriver,
    ):
        super().__init__()
        self._myself = myself
        self._owners = owners
        self._protocol = protocol
        self._driver = driver
        self._known: set[str] = set()
        self._waiting: collections.deque[data.Server] = collections.deque()
        self._runner: asyncio.Task[None] | None = None

    def stop(self) -> None:
        """Ends the task; calls in flight end with the driver."""
        super().stop()
        if self._runner is not None:
            self._runner.cancel()

    def handle(self, message: events.ViewChanged) -> None:
        """Queues the servers that are new in this instance's share."""
        chosen = warming.servers_to_connect(message, self._myself, self._owners)
        self._waiting.extend(server for server in chosen if server.address not in self._known)
        self._known = {server.address for server in chosen}
        if self._waiting and (self._runner is None or self._runner.done()):
            self._runner = asyncio.create_task(self._run(), name="warm-up")

    async def _run(self) -> None:
        while self._waiting:
            server = self._waiting.popleft()
            call = self._protocol.health_check(server)
            if call is not None:
                self._driver.start(call, _make_note(server))
                await asyncio.sleep(SPACING_SECONDS)


def _make_note(server: data.Server) -> Callable[[curl.HttpReply], None]:
    """Returns what takes note of a health check's end; calls tell how a server does."""

    def note(reply: curl.HttpReply) -> None:
        if not reply.status:
            extra = {"server": server.server_id, "error": reply.error}
            _log.info("connection not opened ahead", extra=extra)

    return note
