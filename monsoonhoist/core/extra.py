"""Calls beyond the first of a sub-request: when to make them, and their budgets."""

from collections.abc import Callable

from monsoonhoist.core import budget, data, shard
from monsoonhoist.policy import hedge

# Calls that may be in flight for one sub-request beyond the first.
HEDGES_MAX = 2

BudgetKey = tuple[data.PoolId, data.ServiceId] | data.RouteId
RouteKey = tuple[data.PoolId, data.RouteId]


class ExtraCalls:
    """Budgets and hedge policies of one owner.

    Args:
        options: Size of the budgets.
        make_hedge: Makes the hedge policy of a route.
    """

    def __init__(self, options: budget.BudgetOptions, make_hedge: Callable[[], hedge.Hedge]):
        self._options = options
        self._make_hedge = make_hedge
        self._share = 1.0
        self._bucket_by_key: dict[BudgetKey, budget.TokenBucket] = {}
        self._hedge_by_route: dict[RouteKey, hedge.Hedge] = {}

    def set_share(self, share: float) -> None:
        """Takes over the share of the budgets that this instance may use."""
        self._share = share
        for bucket in self._bucket_by_key.values():
            bucket.set_share(share)

    def bucket(self, sub: shard.SubRequest) -> budget.TokenBucket:
        """Returns the budget that extra calls for a sub-request draw on."""
        key: BudgetKey = sub.query.route
        if self._options.by_service:
            key = (sub.query.pool, sub.service)
        bucket = self._bucket_by_key.get(key)
        if bucket is None:
            bucket = budget.TokenBucket(self._options, self._share)
            self._bucket_by_key[key] = bucket
        return bucket

    def hedge_policy(self, sub: shard.SubRequest) -> hedge.Hedge:
        """Returns the policy that learns the latencies of a route's calls."""
        key = (sub.query.pool, sub.query.route)
        policy = self._hedge_by_route.get(key)
        if policy is None:
            policy = self._make_hedge()
            self._hedge_by_route[key] = policy
        return policy


def is_attempt_left(sub: shard.SubRequest) -> bool:
    """Returns whether the route allows one more call that runs."""
    return sub.calls - sub.unused_calls < sub.query.attempts


def may_call_again(sub: shard.SubRequest) -> bool:
    """Returns whether one more hedge is within the attempts of the route."""
    return sub.calls - sub.unused_calls < min(sub.query.attempts, HEDGES_MAX + 1)
