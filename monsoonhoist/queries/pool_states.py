"""What an entry knows of each pool: whether to admit queries, and the snapshots that exist."""

from collections.abc import Container

from monsoonhoist.core import data
from monsoonhoist.policy import admission, fair_admission
from monsoonhoist.protocol import events
from monsoonhoist.queries import query, snapshots


class PoolStates:
    """Admission and snapshots of each pool, created on first use.

    Args:
        admission_class: Admission policy; instantiated once for each pool.
        is_fair: Whether the places of a pool are divided between callers.
    """

    def __init__(self, admission_class: type[admission.Admission], is_fair: bool = False):
        self._admission_class = admission_class
        self._is_fair = is_fair
        self._fair_by_pool: dict[data.PoolId, fair_admission.FairAdmission] = {}
        self._admission_by_pool: dict[data.PoolId, admission.Admission] = {}
        self._snapshots_by_pool: dict[data.PoolId, snapshots.PoolSnapshots] = {}

    def admission_for(self, pool: data.PoolId) -> admission.Admission:
        """Returns the admission policy of a pool."""
        if pool not in self._admission_by_pool:
            self._admission_by_pool[pool] = self._admission_class()
        return self._admission_by_pool[pool]

    def admit(
        self, pool: data.PoolId, rank: data.Rank, event: events.QueryArrived, now: float
    ) -> fair_admission.Verdict:
        """Admits or refuses a query to a pool.

        Args:
            pool: The pool.
            rank: Rank of the query.
            event: The request.
            now: The time, in monotonic seconds.
        """
        if not self._is_fair:
            return fair_admission.Verdict(self.admission_for(pool).admit(rank))
        if pool not in self._fair_by_pool:
            self._fair_by_pool[pool] = fair_admission.FairAdmission(self.admission_for(pool))
        return self._fair_by_pool[pool].admit(rank, event.request.caller, event.query_id, now)

    def snapshots_for(self, pool: data.PoolId) -> snapshots.PoolSnapshots:
        """Returns the snapshots that the shards of a pool hold."""
        return self._snapshots_by_pool.setdefault(pool, snapshots.PoolSnapshots())

    def finish(self, state: query.QueryState, now: float) -> None:
        """Tells the admission policy of a query's pool that the query has ended."""
        fair = self._fair_by_pool.get(state.pool.pool_id)
        if fair is not None:
            fair.finish(state.route.rank, state.account, state.queue_pressure, now)
            return
        admission_policy = self.admission_for(state.pool.pool_id)
        admission_policy.finish(state.route.rank, state.queue_pressure)

    def retain(self, pools: Container[data.PoolId]) -> None:
        """Discards the state of pools that are not among those given."""
        states_by_pool = (self._admission_by_pool, self._snapshots_by_pool, self._fair_by_pool)
        for state_by_pool in states_by_pool:
            for pool in list(state_by_pool):
                if pool not in pools:
                    del state_by_pool[pool]
