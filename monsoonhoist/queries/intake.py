"""Checks of a request at its entry, before admission: route, time limit and pool."""

import msgspec

from monsoonhoist.core import data, scheduling
from monsoonhoist.policy import fair_admission
from monsoonhoist.protocol import events
from monsoonhoist.queries import answer_builder, plan, pool_selector

MS_PER_SECOND = 1000


class Accepted(msgspec.Struct, frozen=True):
    """A request that may be admitted.

    Attributes:
        route: Its route.
        pool: The pool that serves it.
        deadline_max_ms: Upper bound of its deadline, in milliseconds from now.
    """

    route: data.Route
    pool: data.Pool
    deadline_max_ms: int


class Refused(msgspec.Struct, frozen=True):
    """Why a request cannot be served."""

    reason: data.Refusal
    detail: str


def check(
    event: events.QueryArrived, tables: data.Tables, selector: pool_selector.PoolSelector
) -> Accepted | Refused:
    """Returns the route and the pool of a request, or why it cannot be served.

    Args:
        event: The request.
        tables: Tables in force.
        selector: Chooses the pool of a route that is split.
    """
    route = tables.route_by_id.get(event.route)
    if route is None:
        return Refused(data.Refusal.UNKNOWN_ROUTE, f"no route is named {event.route!r}")
    deadline_max_ms = int(route.deadline.total_seconds() * MS_PER_SECOND)
    request = event.request
    is_out_of_range = not 0 <= request.deadline_ms <= deadline_max_ms
    if is_out_of_range and not request.is_clamped:
        detail = f"deadline_ms must be from 0 to {deadline_max_ms}"
        return Refused(data.Refusal.DEADLINE_OUT_OF_RANGE, detail)
    pool_id = selector.choose(route)
    pool = tables.pool_by_id.get(pool_id)
    if pool is None or not pool.servers_by_service:
        detail = f"the pool {pool_id!r} is not defined"
        return Refused(data.Refusal.POOL_NOT_DEFINED, detail)
    if not plan.has_servers(tables, route, pool):
        return Refused(data.Refusal.NO_SERVER, f"the pool {pool_id!r} has too few servers")
    return Accepted(route, pool, deadline_max_ms)


def refuse(event: events.QueryArrived, reason: data.Refusal, detail: str) -> list[events.Command]:
    """Returns the commands that refuse a request of which nothing has run."""
    answer = answer_builder.make_not_run(event.request.request_id, reason, detail)
    return [events.CountRefusal(reason), events.Respond(event.query_id, answer)]


def refuse_overload(
    event: events.QueryArrived, accepted: Accepted, verdict: fair_admission.Verdict
) -> list[events.Command]:
    """Returns the commands that refuse a request for which its pool has no place."""
    rank, pool_id = accepted.route.rank.value, accepted.pool.pool_id
    detail = f"too much {rank} work for the pool {pool_id!r}"
    if verdict.is_over_share:
        detail = f"the caller has its share of the {rank} work for the pool {pool_id!r}"
    commands = refuse(event, data.Refusal.OVERLOAD, detail)
    if verdict.wait_seconds <= 0.0:
        return commands
    wait_ms = max(1, int(verdict.wait_seconds * MS_PER_SECOND))
    decision = scheduling.Decision.TOLD_TO_RETURN
    if verdict.is_over_share:
        decision = scheduling.Decision.OVER_SHARE
    count = events.CountDecision(event.query_id, decision, left_ms=wait_ms)
    answer = msgspec.structs.replace(commands[-1].answer, wait_ms=wait_ms)
    return [count, *commands[:-1], events.Respond(event.query_id, answer)]
