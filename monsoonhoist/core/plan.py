"""Plan of a query: what is asked of which shards, and until when."""

from monsoonhoist.core import data, events, exchange, fanout, hashing, query, snapshots

# Share of the goal, or else of the deadline, after which an owner that has not been heard
# from is given up.
OWNER_TIMEOUT_SHARE = 0.4
# Least patience, since an instance with little processor time has other work for a while.
OWNER_TIMEOUT_MIN_SECONDS = 0.06
# Share of the same that an owner may take to answer whether it is still at work: some times
# the way there and back, and a moment in which the instance has other work.
OWNER_CHECK_SHARE = 0.2
OWNER_CHECK_MIN_SECONDS = 0.03
# Share of the deadline kept for sending the answer back to the caller.
ANSWER_MARGIN_SHARE = 0.05
# An answer is given this long before the route's goal, for the way to the caller and
# back, but no earlier than this share of the goal before it.
GOAL_MARGIN_SECONDS = 0.012
# What each shard of a query adds to that lead, for taking in the parts that come together.
GOAL_MARGIN_PER_SHARD_SECONDS = 0.0001
GOAL_MARGIN_MAX_SHARE = 0.4
MS_PER_SECOND = 1000


def make_query(
    event: events.QueryArrived,
    route: data.Route,
    pool: data.Pool,
    known_snapshots: snapshots.PoolSnapshots,
    limit_ms: int,
    now: float,
) -> query.QueryState:
    """Returns the state of a query that is about to start.

    Args:
        event: The request.
        route: Its route.
        pool: The pool that serves it.
        known_snapshots: What is known of the pool's snapshots.
        limit_ms: Longest time that the request may take.
        now: The time, in monotonic seconds.
    """
    question = event.question
    total_ms = min(question.deadline_ms or limit_ms, limit_ms)
    total_seconds = total_ms / MS_PER_SECOND * (1 - ANSWER_MARGIN_SHARE)
    services = tuple(sorted(pool.servers_by_service))
    snapshot = pool.snapshot or known_snapshots.best_snapshot(services)
    if not route.repeatable:
        services = (_service_for(question, services),)
        snapshot = pool.snapshot
    spec = fanout.QuerySpec(
        query_id=event.query_id,
        route=route.route_id,
        pool=pool.pool_id,
        rank=route.rank,
        content=question.content,
        limit=route.results or question.limit,
        remaining_ms=0,
        hedge_budget=route.hedge_budget,
        repeatable=route.repeatable,
        attempts=route.attempts,
        merge=pool.merge,
        passes_response=route.passes_response,
    )
    return query.QueryState(
        spec=spec,
        request_id=question.request_id,
        route=route,
        pool=pool,
        services=services,
        deadline=now + total_seconds,
        owner_timeout=_make_owner_timeout(route, total_seconds, now),
        partial_allowed_at=now + _partial_after_seconds(route, total_seconds, len(services)),
        snapshot=snapshot,
    )


def _service_for(
    question: exchange.Question, services: tuple[data.ServiceId, ...]
) -> data.ServiceId:
    """Returns the shard of non-repeatable work, chosen by hash of its body."""
    if len(services) == 1:
        return services[0]
    return services[hashing.weight(question.content.body.decode()) % len(services)]


def _make_owner_timeout(route: data.Route, total_seconds: float, now: float) -> query.OwnerTimeout:
    """Returns when owners are taken for silent."""
    measure = total_seconds
    if route.goal is not None:
        measure = min(total_seconds, route.goal.total_seconds())
    patience = max(OWNER_TIMEOUT_MIN_SECONDS, measure * OWNER_TIMEOUT_SHARE)
    answer = max(OWNER_CHECK_MIN_SECONDS, measure * OWNER_CHECK_SHARE)
    return query.OwnerTimeout(now + patience, answer)


def _partial_after_seconds(route: data.Route, total_seconds: float, shard_count: int) -> float:
    """Returns when the minimum coverage is enough, from the query's start."""
    if route.goal is not None:
        lead = GOAL_MARGIN_SECONDS + shard_count * GOAL_MARGIN_PER_SHARD_SECONDS
        lead = min(lead, route.goal.total_seconds() * GOAL_MARGIN_MAX_SHARE)
        return min(total_seconds, route.goal.total_seconds() - lead)
    if route.partial_after is None:
        return total_seconds
    return min(total_seconds, route.partial_after.total_seconds())
