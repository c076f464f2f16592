"""Choice of the single snapshot from which an answer is computed."""

from collections.abc import Iterable, Mapping

from monsoonhoist.core import data


def choose(
    services: Iterable[data.ServiceId],
    holdings_by_service: Mapping[data.ServiceId, tuple[data.Holding, ...]],
) -> data.Snapshot:
    """Chooses the newest snapshot among those that cover the most keys.

    Args:
        services: Shards of the pool.
        holdings_by_service: Snapshots that each shard is known to hold.

    Returns:
        The snapshot, or ``LATEST_SNAPSHOT`` if no holdings are known.
    """
    keys_by_snapshot: dict[data.Snapshot, int] = {}
    for service in services:
        for holding in holdings_by_service.get(service, ()):
            key_count = holding.keys.high - holding.keys.low
            total_keys = keys_by_snapshot.get(holding.snapshot, 0) + key_count
            keys_by_snapshot[holding.snapshot] = total_keys
    if not keys_by_snapshot:
        return data.LATEST_SNAPSHOT
    return max(keys_by_snapshot, key=lambda snapshot: (keys_by_snapshot[snapshot], snapshot))


class PoolSnapshots:
    """Snapshots that the shards of a pool hold, as reported in replies.

    Attributes:
        holdings_by_service: Snapshots that each shard is known to hold.
    """

    def __init__(self) -> None:
        self.holdings_by_service: dict[data.ServiceId, tuple[data.Holding, ...]] = {}
        self._services: tuple[data.ServiceId, ...] = ()
        self._best_snapshot: data.Snapshot | None = None

    def record_holdings(self, service: data.ServiceId, holdings: tuple[data.Holding, ...]) -> None:
        """Records the snapshots that a shard currently holds."""
        if holdings and self.holdings_by_service.get(service) != holdings:
            self.holdings_by_service[service] = holdings
            self._best_snapshot = None

    def best_snapshot(self, services: tuple[data.ServiceId, ...]) -> data.Snapshot:
        """Returns the snapshot to request; see ``choose``."""
        if self._best_snapshot is None or services != self._services:
            self._services = services
            self._best_snapshot = choose(services, self.holdings_by_service)
        return self._best_snapshot
