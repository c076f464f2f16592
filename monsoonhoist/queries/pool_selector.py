"""Weighted distribution of a route's requests over pools."""

from monsoonhoist.core import data


class PoolSelector:
    """Chooses the pool of each request by smooth weighted round robin, as in nginx.

    Each request adds each pool's weight to the pool's credit. The pool with the largest credit is
    chosen, and the sum of the weights is subtracted from its credit. So the shares are accurate
    even over a short sequence of requests, and the choice is deterministic.
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[data.RouteId, dict[data.PoolId, float]] = {}

    def choose(self, route: data.Route) -> data.PoolId:
        """Returns the pool that serves the next request of a route."""
        if not route.splits:
            return route.pool
        previous_by_pool = self._credit_by_route.get(route.route_id, {})
        credit_by_pool = {
            split.pool: previous_by_pool.get(split.pool, 0.0) + split.weight
            for split in route.splits
        }
        chosen = max(credit_by_pool, key=credit_by_pool.get)
        credit_by_pool[chosen] -= sum(split.weight for split in route.splits)
        self._credit_by_route[route.route_id] = credit_by_pool
        return chosen
