"""When an instance has the newest tables that it can know."""

import asyncio
from collections.abc import Callable

from monsoonhoist.core import clock, data
from monsoonhoist.node import replication

CHECK_INTERVAL_SECONDS = 0.05
# Time after which the peers' tables are enough, if the service gives no answer.
PEER_TABLES_WAIT_SECONDS = 2.0
# Time that an instance which starts together with all others waits for a stream to one.
FIRST_STREAM_WAIT_SECONDS = 1.0


class Readiness:
    """Waits for tables from the service, or for long enough with tables from peers.

    Args:
        time_source: The clock.
        spread: Tables in force.
        watcher: Reads the service.
        connected: Returns the instances whose streams are up.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        replicator: replication.TableReplicator,
        watcher: replication.ConfigServiceWatcher,
        connected_instances: Callable[[], tuple[data.InstanceId, ...]],
    ):
        self._clock = time_source
        self._replicator = replicator
        self._watcher = watcher
        self._connected_instances = connected_instances
        self._started_at = time_source.monotonic()

    def waited_seconds(self) -> float:
        """Returns the time since the start."""
        return self._clock.monotonic() - self._started_at

    def restart(self) -> None:
        """Begins the time anew, as after a pause."""
        self._started_at = self._clock.monotonic()

    async def wait(self) -> None:
        """Returns once the newest tables are there."""
        while not self._has_newest_tables():
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _has_newest_tables(self) -> bool:
        if not self._replicator.store.tables.route_by_id:
            return False
        peers_only = (
            bool(self._connected_instances()) and self.waited_seconds() >= PEER_TABLES_WAIT_SECONDS
        )
        return self._watcher.has_read_all or peers_only
