"""Records of a query's fan-out to shards, as exchanged between entries and owners."""

import msgspec

from monsoonhoist.core import data, exchange


class QuerySpec(msgspec.Struct, frozen=True, array_like=True):
    """A query as sent from its entry to the owners.

    Attributes:
        query_id: Id, unique across instances and incarnations.
        route: Route of the request.
        pool: Pool of the route.
        rank: Rank of the route.
        content: The caller's HTTP request.
        limit: Number of results requested.
        remaining_ms: Time from the sending of the record until the deadline, in milliseconds.
        hedge_budget: Share of the first calls for which owners may schedule a hedge.
        repeatable: Whether the request is idempotent, so that it may be run more than once.
        calls_per_shard_max: Most calls to backend servers for each shard, without those that are
            proved to have run nothing.
        merge: Name of the policy that merges results.
        passes_response: Whether the response of a single server is passed on unchanged.
        goal_left_ms: Time from the sending of the record until the entry wants the parts to meet
            the route's goal, in milliseconds, negative once it has passed; None without a goal.
    """

    query_id: data.QueryId
    route: data.RouteId
    pool: data.PoolId
    rank: data.Rank
    content: exchange.HttpRequest
    limit: int
    remaining_ms: int
    hedge_budget: float
    repeatable: bool
    calls_per_shard_max: int = 4
    merge: str = "ranked"
    passes_response: bool = False
    goal_left_ms: int | None = None


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A shard's contribution to an answer, without its results.

    Attributes:
        service: The shard.
        attempt: Number of the sub-request among those for the shard, from 1.
        snapshot: Snapshot from which the results were computed.
        keys: Keys that the shard has in that snapshot.
        holdings: Snapshots that the shard's servers hold, newest first.
        proof: The server's proof that it ran the request; empty if it sent none.
        response: The server's response, if the route passes it on unchanged.
    """

    service: data.ServiceId
    attempt: int
    snapshot: data.Snapshot
    keys: data.KeyRange
    holdings: tuple[data.Holding, ...]
    proof: str = ""
    response: exchange.Response | None = None


class Failure(msgspec.Struct, frozen=True, array_like=True):
    """The failure of a sub-request.

    Attributes:
        service: The shard.
        attempt: Number of the sub-request among those for the shard, from 1.
        reason: Why there are no results.
        may_have_run: False only if it is proved that nothing ran.
        holdings: Snapshots that the shard's servers hold, if known.
        response: The server's error response, if it sent one.
        calls: Number of calls to servers that may have run.
        wait_ms: Time until one of the shard's servers is available, in milliseconds; 0 if it is
            unknown or one is available now.
    """

    service: data.ServiceId
    attempt: int
    reason: data.Refusal
    may_have_run: bool
    holdings: tuple[data.Holding, ...] = ()
    response: exchange.Response | None = None
    calls: int = 0
    wait_ms: int = 0
