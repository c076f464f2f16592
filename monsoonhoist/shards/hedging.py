"""Hedge policies by route, and limits on the number of calls of a sub-request."""

from collections.abc import Callable, Container

from monsoonhoist.core import data
from monsoonhoist.policy import hedge
from monsoonhoist.shards import subrequest

# Most hedges of one sub-request. Its retries count as well; calls that ran nothing do not.
HEDGES_MAX = 2

RouteKey = tuple[data.PoolId, data.RouteId]


class HedgePolicies:
    """Hedge policies of one owner, one for each pool and route.

    Args:
        make_hedge: Creates the hedge policy of a route.
    """

    def __init__(self, make_hedge: Callable[[], hedge.Hedge]):
        self._make_hedge = make_hedge
        self._hedge_by_route: dict[RouteKey, hedge.Hedge] = {}

    def policy_for(self, sub: subrequest.SubRequest) -> hedge.Hedge:
        """Returns the policy that records latencies for a sub-request's pool and route."""
        key = (sub.query.pool, sub.query.route)
        policy = self._hedge_by_route.get(key)
        if policy is None:
            policy = self._make_hedge()
            self._hedge_by_route[key] = policy
        return policy

    def retain(self, routes: Container[data.RouteId]) -> None:
        """Discards the policies of routes that are not among those given."""
        for key in list(self._hedge_by_route):
            if key[1] not in routes:
                del self._hedge_by_route[key]


def may_retry(sub: subrequest.SubRequest) -> bool:
    """Returns whether one more call is within the number of calls that the route allows."""
    return sub.calls - sub.unused_calls < sub.query.calls_per_shard_max


def may_hedge(sub: subrequest.SubRequest) -> bool:
    """Returns whether one more hedge is within the route's call limit and ``HEDGES_MAX``."""
    return sub.calls - sub.unused_calls < min(sub.query.calls_per_shard_max, HEDGES_MAX + 1)
