"""What an entry knows of each pool: whether to admit queries, and the snapshots that exist."""

from collections.abc import Container

from monsoonhoist.core import data
from monsoonhoist.policy import admission
from monsoonhoist.queries import query, snapshots


class PoolStates:
    """Admission and snapshots of each pool, created on first use.

    Args:
        admission_class: Admission policy; instantiated once for each pool.
    """

    def __init__(self, admission_class: type[admission.Admission]):
        self._admission_class = admission_class
        self._admission_by_pool: dict[data.PoolId, admission.Admission] = {}
        self._snapshots_by_pool: dict[data.PoolId, snapshots.PoolSnapshots] = {}

    def admission_for(self, pool: data.PoolId) -> admission.Admission:
        """Returns the admission policy of a pool."""
        if pool not in self._admission_by_pool:
            self._admission_by_pool[pool] = self._admission_class()
        return self._admission_by_pool[pool]

    def snapshots_for(self, pool: data.PoolId) -> snapshots.PoolSnapshots:
        """Returns the snapshots that the shards of a pool hold."""
        return self._snapshots_by_pool.setdefault(pool, snapshots.PoolSnapshots())

    def finish(self, state: query.QueryState) -> None:
        """Tells the admission policy of a query's pool that the query has ended."""
        admission_policy = self.admission_for(state.pool.pool_id)
        admission_policy.finish(state.route.rank, state.queue_pressure)

    def retain(self, pools: Container[data.PoolId]) -> None:
        """Discards the state of pools that are not among those given."""
        for state_by_pool in (self._admission_by_pool, self._snapshots_by_pool):
            for pool in list(state_by_pool):
                if pool not in pools:
                    del state_by_pool[pool]
