"""Plan of a query: its shards, snapshot, deadline and timeouts."""

import math

from monsoonhoist.core import data, exchange, hashing
from monsoonhoist.protocol import events, fanout
from monsoonhoist.queries import query, snapshots

# Timeout for owners that send no message, as a share of the query's deadline or of the route's
# latency goal, whichever is shorter.
OWNER_TIMEOUT_SHARE = 0.4
# Lower bound of this timeout, because an instance with little processor time is slow to reply.
OWNER_TIMEOUT_MIN_SECONDS = 0.06
# Timeout of an owner's first liveness check, as a share of the same deadline or goal. It allows for
# a few round trips and for an owner that is briefly busy with other work.
OWNER_CHECK_SHARE = 0.2
OWNER_CHECK_MIN_SECONDS = 0.03
# Share of the deadline reserved for sending the answer to the caller.
ANSWER_MARGIN_SHARE = 0.05
# A partial answer is sent this long before the route's latency goal, to allow for the round trip
# to the caller.
GOAL_MARGIN_SECONDS = 0.012
# Addition to this margin for each shard, to process parts that arrive at the same time.
GOAL_MARGIN_PER_SHARD_SECONDS = 0.0001
# Upper bound of the sum of both margins, as a share of the goal.
GOAL_MARGIN_MAX_SHARE = 0.4
MS_PER_SECOND = 1000
# Permitted error when a product of a share and a count is compared with a count.
ROUNDING_TOLERANCE = 1e-9


def make_query(
    event: events.QueryArrived,
    route: data.Route,
    pool: data.Pool,
    pool_snapshots: snapshots.PoolSnapshots,
    deadline_max_ms: int,
    now: float,
    goal_margin_seconds: float,
) -> query.QueryState:
    """Returns the initial state of a query.

    Args:
        event: The request.
        route: Route of the request.
        pool: Pool that serves the request.
        pool_snapshots: Snapshots that the pool's shards hold, as reported in replies.
        deadline_max_ms: Upper bound of the deadline, in milliseconds from now.
        now: The time, in monotonic seconds.
        goal_margin_seconds: How long before the goal a partial answer is sent; limited by
            ``GOAL_MARGIN_MAX_SHARE``.
    """
    request = event.request
    available_ms = min(request.deadline_ms or deadline_max_ms, deadline_max_ms)
    available_seconds = available_ms / MS_PER_SECOND * (1 - ANSWER_MARGIN_SHARE)
    services = tuple(sorted(pool.servers_by_service))
    snapshot = pool.snapshot or pool_snapshots.best_snapshot(services)
    if not route.repeatable:
        services = (_service_for(request, services),)
        snapshot = pool.snapshot
    spec = fanout.QuerySpec(
        query_id=event.query_id,
        route=route.route_id,
        pool=pool.pool_id,
        rank=route.rank,
        content=request.content,
        limit=route.results or request.limit,
        remaining_ms=0,
        hedge_budget=route.hedge_budget,
        repeatable=route.repeatable,
        calls_per_shard_max=route.attempts,
        merge=pool.merge,
        passes_response=route.passes_response,
    )
    return query.QueryState(
        spec=spec,
        request_id=request.request_id,
        route=route,
        pool=pool,
        services=services,
        deadline=now + available_seconds,
        owner_timeout=_make_owner_timeout(route, available_seconds, now),
        partial_allowed_at=now
        + _partial_after_seconds(route, available_seconds, goal_margin_seconds),
        snapshot=snapshot,
        goal_at=now + route.goal.total_seconds() if route.goal is not None else math.inf,
    )


def has_servers(tables: data.Tables, route: data.Route, pool: data.Pool) -> bool:
    """Returns whether enough shards of a pool have a server outside the evacuated zones.

    A query that cannot reach its minimum coverage is then refused before any server is called.
    """
    zones = tables.evacuated_zones
    if not zones:
        return any(pool.servers_by_service.values())
    served_count = sum(
        any(server.zone not in zones for server in servers)
        for servers in pool.servers_by_service.values()
    )
    # With a defined snapshot, each shard has exactly one key; else its keys are not known.
    needed_count = 1.0
    if pool.snapshot and route.repeatable:
        needed_count = max(1.0, pool.key_space * route.minimum_coverage - ROUNDING_TOLERANCE)
    return served_count >= needed_count


def _service_for(
    request: exchange.CallerRequest, services: tuple[data.ServiceId, ...]
) -> data.ServiceId:
    """Returns the shard of a non-repeatable request, chosen by a hash of its body."""
    if len(services) == 1:
        return services[0]
    return services[hashing.stable_hash(request.content.body.decode()) % len(services)]


def _make_owner_timeout(
    route: data.Route, available_seconds: float, now: float
) -> query.OwnerTimeout:
    """Returns the timeout after which owners are marked as silent."""
    reference_seconds = available_seconds
    if route.goal is not None:
        reference_seconds = min(available_seconds, route.goal.total_seconds())
    timeout_seconds = max(OWNER_TIMEOUT_MIN_SECONDS, reference_seconds * OWNER_TIMEOUT_SHARE)
    check_timeout_seconds = max(OWNER_CHECK_MIN_SECONDS, reference_seconds * OWNER_CHECK_SHARE)
    return query.OwnerTimeout(now + timeout_seconds, check_timeout_seconds)


def _partial_after_seconds(
    route: data.Route, available_seconds: float, goal_margin_seconds: float
) -> float:
    """Returns how long after its start a query may be answered with minimum coverage."""
    if route.goal is not None:
        margin = min(goal_margin_seconds, route.goal.total_seconds() * GOAL_MARGIN_MAX_SHARE)
        return min(available_seconds, route.goal.total_seconds() - margin)
    if route.partial_after is None:
        return available_seconds
    return min(available_seconds, route.partial_after.total_seconds())
