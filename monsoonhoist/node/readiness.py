"""Determines when a starting instance has current tables."""

import asyncio
from collections.abc import Callable

from monsoonhoist.core import clock, data
from monsoonhoist.node import replication, service_watcher

CHECK_INTERVAL_SECONDS = 0.05
# Wait for the configuration service, after which tables from peers are sufficient.
PEER_TABLES_WAIT_SECONDS = 2.0
# Wait for a first stream to a peer when all instances start together.
FIRST_STREAM_WAIT_SECONDS = 1.0


class Readiness:
    """Waits for tables from the configuration service, or, after a timeout, from peers.

    Args:
        time_source: The clock.
        replicator: Holds the current tables.
        watcher: Reads the configuration service.
        connected_instances: Returns the instances whose streams are up.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        replicator: replication.TableReplicator,
        watcher: service_watcher.ConfigServiceWatcher,
        connected_instances: Callable[[], tuple[data.InstanceId, ...]],
    ):
        self._clock = time_source
        self._replicator = replicator
        self._watcher = watcher
        self._connected_instances = connected_instances
        self._started_at = time_source.monotonic()

    def waited_seconds(self) -> float:
        """Returns the time since the start or the last restart."""
        return self._clock.monotonic() - self._started_at

    def restart(self) -> None:
        """Restarts the wait, for example after a pause of the process."""
        self._started_at = self._clock.monotonic()

    async def wait(self) -> None:
        """Returns once the tables are current."""
        while not self._has_current_tables():
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _has_current_tables(self) -> bool:
        if not self._replicator.store.tables.route_by_id:
            return False
        can_rely_on_peers = (
            bool(self._connected_instances()) and self.waited_seconds() >= PEER_TABLES_WAIT_SECONDS
        )
        return self._watcher.has_read_all or can_rely_on_peers
