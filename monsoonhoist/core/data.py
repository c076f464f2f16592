"""Immutable records shared by all other modules.

Durations that operators configure are ``datetime.timedelta``; durations that are sent between
processes are whole milliseconds, and the names of these fields end in ``_ms``.
"""

import datetime
import enum
from typing import NewType

import msgspec

from monsoonhoist.core import caller_limits, exchange

InstanceId = NewType("InstanceId", str)
Incarnation = NewType("Incarnation", int)
ServerId = NewType("ServerId", str)
# Name of a shard: a service is the group of backend servers that hold the same keys.
ServiceId = NewType("ServiceId", str)
PoolId = NewType("PoolId", str)
RouteId = NewType("RouteId", str)
QueryId = NewType("QueryId", str)
ZoneId = NewType("ZoneId", str)
TableKey = NewType("TableKey", str)
TicketId = NewType("TicketId", str)
# Number of a version of the data that backend servers hold. All results of an answer come from the
# same snapshot.
Snapshot = NewType("Snapshot", int)

# Placeholder in a query that leaves the choice of the snapshot to the backend server.
LATEST_SNAPSHOT = Snapshot(0)


class Rank(enum.Enum):
    """Priority class of a route's requests, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


RANK_ORDER: tuple[Rank, ...] = (Rank.URGENT, Rank.NORMAL, Rank.BACKGROUND)


class Outcome(enum.Enum):
    """Final status of a caller's request.

    Attributes:
        ANSWERED: The answer covers all keys.
        PARTIAL: The answer covers at least the route's minimum coverage.
        NOT_RUN: It is proved that no backend server ran the request.
        FAILED: A repeatable request may have run, but the answer covers too few keys.
        UNKNOWN: A non-repeatable request may have run, but there is no answer.
    """

    ANSWERED = "answered"
    PARTIAL = "partial"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Refusal(enum.Enum):
    """Reason why a request, a sub-request or a call was refused or failed.

    Attributes:
        LEAVING: The instance that received the request is about to stop.
        OVERLOAD: The instance that received the request admits no more for now.
        SHED: The server refused the call because of its load.
        SHED_WITHOUT_LOAD: As ``SHED``, although the server reported free slots.
        DRAINING: The server is about to stop and accepts no new calls.
        CONNECTIONS: The server's connection limit is reached.
        WRONG_SERVER: Another server answered at the server's address.
        INTERNAL_ERROR: An error of this program ended the request.
    """

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_ROUTE = "unknown_route"
    POOL_NOT_DEFINED = "pool_not_defined"
    SERVICE_NOT_DEFINED = "service_not_defined"
    DEADLINE_OUT_OF_RANGE = "deadline_out_of_range"
    TICKET_REQUIRED = "ticket_required"
    TICKET_MALFORMED = "ticket_malformed"
    TICKET_HOLDER_GONE = "ticket_holder_gone"
    TICKET_FORGOTTEN = "ticket_forgotten"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    OVERLOAD = "overload"
    QUEUE_FULL = "queue_full"
    EXPIRED_IN_QUEUE = "expired_in_queue"
    SHED = "shed"
    SHED_WITHOUT_LOAD = "shed_without_load"
    DRAINING = "draining"
    CONNECTIONS = "connections"
    SNAPSHOT_GONE = "snapshot_gone"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    BACKEND_ERROR = "backend_error"
    NO_SERVER = "no_server"
    PEER_LOST = "peer_lost"
    CANCELLED = "cancelled"
    CALLER_GONE = "caller_gone"
    WRONG_SERVER = "wrong_server"
    MALFORMED_REPLY = "malformed_reply"
    INTERNAL_ERROR = "internal_error"


class RetryReason(enum.Enum):
    """Reason why a sub-request or a call to a backend server was repeated.

    Attributes:
        HEDGE: The call in progress has taken longer than the hedge delay.
        REFUSED: The previous sub-request or call failed and is proved not to have run.
        LOST: The previous call failed and may have run.
        SNAPSHOT: The query is run again at another snapshot.
        OWNER_LOST: The stream to the owner ended, or there was none.
        OWNER_SILENT: No message from the owner arrived within the timeout.
    """

    HEDGE = "hedge"
    REFUSED = "refused"
    LOST = "lost"
    SNAPSHOT = "snapshot"
    OWNER_LOST = "owner_lost"
    OWNER_SILENT = "owner_silent"


class Bound(enum.Enum):
    """Limit that a call beyond the first would exceed.

    Attributes:
        ATTEMPTS: The route's limit on calls for each shard of a request, ``Route.attempts``.
        BUDGET: The token bucket for extra calls to the shard.
    """

    ATTEMPTS = "attempts"
    BUDGET = "budget"


class MemberState(enum.Enum):
    """State of an instance from the point of view of another."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class PathMatch(msgspec.Struct, frozen=True):
    """Host and path prefix of the requests that belong to a route."""

    host: str
    prefix: str


class Split(msgspec.Struct, frozen=True):
    """A pool that receives a share of a route's requests, in proportion to its weight."""

    pool: PoolId
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A class of requests and the rules for answering them.

    Attributes:
        route_id: Name of the route.
        rank: Priority of its requests.
        pool: Name of the pool that serves it.
        repeatable: Whether requests are idempotent, so that they may be run more than once.
        deadline: Longest time until a request is answered.
        minimum_coverage: Share of the key space, from 0 to 1, below which an answer fails.
        hedge_budget: Extra calls that each first call adds to the budget; 0 for no hedges.
        partial_after: Time after which an answer with at least the minimum coverage is
            returned without waiting for the remaining shards; None for the deadline.
        attempts: Most calls to backend servers for each shard of a request, without those that
            are proved not to have run.
        results: Number of results of an answer; 0 for the number that the caller requests.
        match: Host and path of the requests for this route; None if callers name the route.
        splits: Pools among which the requests are divided; empty for ``pool`` alone.
        goal: Response time that the operators aim for; None without a goal. It replaces
            ``partial_after``.
        passes_response: Whether the response of a single server is passed on unchanged instead
            of merging results.
    """

    route_id: RouteId
    rank: Rank
    pool: PoolId
    repeatable: bool
    deadline: datetime.timedelta
    minimum_coverage: float
    hedge_budget: float
    partial_after: datetime.timedelta | None = None
    attempts: int = 4
    results: int = 0
    match: PathMatch | None = None
    splits: tuple[Split, ...] = ()
    goal: datetime.timedelta | None = None
    passes_response: bool = False


class Server(msgspec.Struct, frozen=True):
    """A backend server.

    Attributes:
        server_id: Name of the server.
        service: The shard that it serves.
        address: ``host:port`` of its HTTP interface.
        zone: Availability zone.
        slots: Number of requests that it processes concurrently.
        connections: Number of connections that it accepts.
        leaving: Whether the operators are taking it out of service.
        health_path: Path of its health check; empty if it has none.
        incarnation: Start of its process, in milliseconds since the Unix epoch; 0 if unknown.
        warm_up_seconds: How long it is cold after a start while there is traffic; 0 if not stated.
        warm_up_rate: Requests per second that it may receive while it is cold; 0 for no limit.
        cold_ms: How long it stays cold, as it has published; None if it has published nothing.
    """

    server_id: ServerId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    connections: int
    leaving: bool
    health_path: str = ""
    incarnation: int = 0
    warm_up_seconds: float = 0.0
    warm_up_rate: float = 0.0
    cold_ms: int | None = None


class Pool(msgspec.Struct, frozen=True):
    """A group of shards, with their backend servers, that serves one or more routes.

    Attributes:
        pool_id: Name of the pool.
        key_space: Number of keys; shards cover ranges of ``[0, key_space)``.
        servers_by_service: Backend servers of each shard.
        snapshot: The only snapshot that the shards answer from, if the table defines it; else
            ``LATEST_SNAPSHOT``. With a defined snapshot, each shard has exactly one key: its
            index in ``servers_by_service``.
        merge: Name of the policy that merges results.
    """

    pool_id: PoolId
    key_space: int
    servers_by_service: dict[ServiceId, tuple[Server, ...]]
    snapshot: Snapshot = LATEST_SNAPSHOT
    merge: str = "ranked"


class Tables(msgspec.Struct, frozen=True):
    """The tables in force, built from the accepted table values.

    Attributes:
        route_by_id: The routes.
        pool_by_id: The pools.
        evacuated_zones: Availability zones whose backend servers receive nothing new.
        request_limits: Limits for callers' requests and connections.
    """

    route_by_id: dict[RouteId, Route]
    pool_by_id: dict[PoolId, Pool]
    evacuated_zones: frozenset[ZoneId] = frozenset()
    request_limits: caller_limits.RequestLimits = caller_limits.RequestLimits()


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Record about an instance, as exchanged between instances.

    Of two records about the same instance, the one with the greater incarnation, then the
    greater version, is the newer.

    Attributes:
        instance: Name of the instance.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
        version: Counter that the instance increments when it changes its own record.
        state: State of the instance.
        host: IP address.
        peer_port: TCP port for streams from other instances.
        zone: Availability zone.
        capacity: Processor time per second that it may use, on a core of typical speed.
        accepts_work: Whether it may own shards; False while it starts, if the settings say so.
    """

    instance: InstanceId
    incarnation: Incarnation
    version: int
    state: MemberState
    host: str
    peer_port: int
    zone: ZoneId
    capacity: float = 1.0
    accepts_work: bool = True


class KeyRange(msgspec.Struct, frozen=True, array_like=True):
    """Half-open range of keys, ``[low, high)``."""

    low: int
    high: int


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot that a shard can answer from, and the shard's keys in it."""

    snapshot: Snapshot
    keys: KeyRange


class Result(msgspec.Struct, frozen=True, array_like=True):
    """A scored result of a query.

    Attributes:
        key: Position in the key space; results with equal keys are merged into one.
        score: Relevance; larger is better.
        text: Text shown to the caller.
    """

    key: int
    score: float
    text: str


# A result as the merge policies handle it: a scored result, or a record ordered by its bytes.
MergeableResult = Result | bytes


class Coverage(msgspec.Struct, frozen=True):
    """Which shards and keys an answer covers.

    Attributes:
        complete: Whether every key is covered by exactly one shard.
        share: Covered keys as a share of all keys, from 0 to 1.
        covered: Shards whose results are in the answer.
        missing: Queried shards whose results are not in the answer.
        gaps: Key ranges that no shard covers.
        overlaps: Key ranges that more than one shard covers.
    """

    complete: bool
    share: float
    covered: tuple[ServiceId, ...]
    missing: tuple[ServiceId, ...]
    gaps: tuple[KeyRange, ...]
    overlaps: tuple[KeyRange, ...]


class Answer(msgspec.Struct, frozen=True):
    """Answer to a caller's request.

    Attributes:
        request_id: The caller's id for the request; empty if it chose none.
        outcome: Final status of the request.
        reason: Reason for the outcome; None if it is ``answered``.
        detail: Human-readable explanation.
        snapshot: Snapshot that all results come from; 0 without results.
        coverage: Coverage of the results; None if no sub-request was sent.
        results: Results, best first.
        sub_requests: Number of sub-requests that the entry sent to owners.
        wait_ms: Time until servers are available for a refused request, in milliseconds; 0 if
            unknown.
    """

    request_id: str
    outcome: Outcome
    reason: Refusal | None = None
    detail: str = ""
    snapshot: Snapshot = LATEST_SNAPSHOT
    coverage: Coverage | None = None
    results: tuple[Result, ...] = ()
    sub_requests: int = 0
    wait_ms: int = 0


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a caller's request.

    Attributes:
        query: Text of the query.
        limit: Number of results requested.
        deadline_ms: Deadline shorter than the route's, in milliseconds; 0 for the route's.
        request_id: Id chosen by the caller, which the answer repeats; may be empty.
        ticket: Ticket of a non-repeatable request.
    """

    query: str
    limit: int = 10
    deadline_ms: int = 0
    request_id: str = ""
    ticket: TicketId = TicketId("")

    def to_caller_request(self) -> exchange.CallerRequest:
        """Returns the request in the form that the kernels handle, with the query as body."""
        content = exchange.HttpRequest("POST", "/v1/search", (), self.query.encode())
        return exchange.CallerRequest(self.request_id, content, self.limit, self.deadline_ms)
