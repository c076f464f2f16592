"""Records of a query's work at the shards, as handed between entries and owners."""

import msgspec

from monsoonhoist.core import data, exchange


class QuerySpec(msgspec.Struct, frozen=True, array_like=True):
    """What a query asks, as handed from the entry to the owners.

    Attributes:
        query_id: Name unique over instances and incarnations.
        route: Route of the request.
        pool: Pool of the route.
        rank: Rank of the route.
        content: What the caller sent.
        limit: Number of results asked for.
        remaining_ms: Time left until the deadline when the record was sent.
        hedge_budget: Second calls that owners plan for, as a share of the first ones.
        repeatable: See ``Route``.
        attempts: See ``Route``.
        merge: See ``Pool``.
        passes_response: See ``Route``.
    """

    query_id: data.QueryId
    route: data.RouteId
    pool: data.PoolId
    rank: data.Rank
    content: exchange.Content
    limit: int
    remaining_ms: int
    hedge_budget: float
    repeatable: bool
    attempts: int = 4
    merge: str = "ranked"
    passes_response: bool = False


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A shard's share of an answer, without its results.

    Attributes:
        service: The shard.
        attempt: Number of the entry's attempt that it answers.
        snapshot: Snapshot that the results come from.
        keys: Keys that the shard has in that snapshot.
        holdings: All snapshots that the answering server holds.
        proof: The server's proof that the part is its own; empty where it gives none.
        response: The server's response, where it is passed on as it is.
    """

    service: data.ServiceId
    attempt: int
    snapshot: data.Snapshot
    keys: data.KeyRange
    holdings: tuple[data.Holding, ...]
    proof: str = ""
    response: exchange.Response | None = None


class Failure(msgspec.Struct, frozen=True, array_like=True):
    """A shard that gave no results to one attempt.

    Attributes:
        service: The shard.
        attempt: Number of the entry's attempt.
        reason: Why there are no results.
        may_have_run: False only where it is proved that nothing ran.
        holdings: Snapshots held, where the server named them.
        response: The server's own failure, if it gave one.
        calls: Calls to servers that may have run.
    """

    service: data.ServiceId
    attempt: int
    reason: data.Refusal
    may_have_run: bool
    holdings: tuple[data.Holding, ...] = ()
    response: exchange.Response | None = None
    calls: int = 0
