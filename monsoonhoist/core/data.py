"""Immutable records that all other modules share.

The module holds the ids, the states, the two tables' records, the findings and
the records of queries and answers. Durations in records that come from operators are
``datetime.timedelta``; fields that cross the wire are whole milliseconds and say so in
their names.
"""

import datetime
import enum
from typing import NewType

import msgspec

from monsoonhoist.core import exchange

InstanceId = NewType("InstanceId", str)
Incarnation = NewType("Incarnation", int)
ServerId = NewType("ServerId", str)
ServiceId = NewType("ServiceId", str)
PoolId = NewType("PoolId", str)
RouteId = NewType("RouteId", str)
QueryId = NewType("QueryId", str)
ZoneId = NewType("ZoneId", str)
TableKey = NewType("TableKey", str)
TicketId = NewType("TicketId", str)
Snapshot = NewType("Snapshot", int)

# A query that lets the backend server choose names this snapshot.
LATEST_SNAPSHOT = Snapshot(0)


class Rank(enum.Enum):
    """Urgency of a route's work, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


RANK_ORDER: tuple[Rank, ...] = (Rank.URGENT, Rank.NORMAL, Rank.BACKGROUND)


class Outcome(enum.Enum):
    """What became of a caller's request."""

    ANSWERED = "answered"
    PARTIAL = "partial"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Refusal(enum.Enum):
    """Reason for which a request, or a part of it, was refused or lost."""

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


class RetryReason(enum.Enum):
    """Reason for which a part of a query was sent again."""

    HEDGE = "hedge"
    REFUSED = "refused"
    LOST = "lost"
    SNAPSHOT = "snapshot"
    OWNER_LOST = "owner_lost"
    OWNER_SILENT = "owner_silent"


class Bound(enum.Enum):
    """Limit that forbids a call beyond the first."""

    ATTEMPTS = "attempts"
    BUDGET = "budget"


class MemberState(enum.Enum):
    """State of an instance as other instances see it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Place(msgspec.Struct, frozen=True):
    """Place in a source that a finding is about.

    Attributes:
        file: Name of the file or table key.
        section: INI section, empty where the finding is about the whole source.
        line: Line number from 1; 0 where it is not known.
    """

    file: str
    section: str = ""
    line: int = 0


class Finding(msgspec.Struct, frozen=True):
    """One error found in a source, with its place."""

    place: Place
    message: str

    def describe(self) -> str:
        """Returns the finding as ``file:line: [section] message``."""
        section = f" [{self.place.section}]" if self.place.section else ""
        return f"{self.place.file}:{self.place.line}:{section} {self.message}"


class PathMatch(msgspec.Struct, frozen=True):
    """Requests that a route takes: by host and by the beginning of the path."""

    host: str
    prefix: str


class Split(msgspec.Struct, frozen=True):
    """A pool that gets a share of a route's requests, in proportion to its weight."""

    pool: PoolId
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A kind of work.

    Attributes:
        route_id: Name of the route.
        rank: Urgency.
        pool: Name of the pool that serves it.
        repeatable: Whether running a request twice does no harm.
        deadline: Longest time a caller waits.
        minimum_coverage: Share of the key space from 0 to 1 below which an answer fails.
        hedge_budget: Extra sub-requests allowed, as a share of the first ones.
        partial_after: When an answer with the minimum coverage is given without waiting
            for the rest; None for the deadline.
        attempts: Backend servers that one request may be sent to, for each shard.
        results: Number of results of an answer; 0 for the number that the caller names.
        match: Requests that are for this route; None where callers name the route.
        splits: Pools among which the requests are divided; empty for ``pool`` alone.
        goal: When an answer should be with the caller, as the operators want it; None
            without a goal. It takes the place of ``partial_after``.
        passes_response: Whether the one server's response is passed on as it is, and no
            results are merged.
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
        slots: Requests that it works on at a time.
        connections: Connections that it accepts.
        leaving: Whether the operators are taking it out of service.
        health_path: Path of its health check; empty where it has none.
    """

    server_id: ServerId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    connections: int
    leaving: bool
    health_path: str = ""


class Pool(msgspec.Struct, frozen=True):
    """The backend servers that serve some routes.

    Attributes:
        pool_id: Name of the pool.
        key_space: Number of keys; shards cover ranges of ``[0, key_space)``.
        servers_by_service: Backend servers of each shard.
        snapshot: The one snapshot that all shards answer from, where the table fixes it;
            the keys are then the shards, one each, in the order of their names.
        merge: Name of the policy that merges results.
    """

    pool_id: PoolId
    key_space: int
    servers_by_service: dict[ServiceId, tuple[Server, ...]]
    snapshot: Snapshot = LATEST_SNAPSHOT
    merge: str = "ranked"


class Tables(msgspec.Struct, frozen=True):
    """The two tables in force, joined from the accepted values."""

    route_by_id: dict[RouteId, Route]
    pool_by_id: dict[PoolId, Pool]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One statement about an instance.

    Attributes:
        instance: Name of the instance.
        incarnation: Start of the process, in nanoseconds of wall time.
        version: Counter by which an instance overrules statements about itself.
        state: State as stated.
        host: IP number.
        peer_port: TCP port of instance streams.
        zone: Availability zone.
    """

    instance: InstanceId
    incarnation: Incarnation
    version: int
    state: MemberState
    host: str
    peer_port: int
    zone: ZoneId


class KeyRange(msgspec.Struct, frozen=True, array_like=True):
    """Keys from ``low`` up to and without ``high``."""

    low: int
    high: int


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """One snapshot held by a shard, and the keys that the shard has in it."""

    snapshot: Snapshot
    keys: KeyRange


class Result(msgspec.Struct, frozen=True, array_like=True):
    """One entry of an answer.

    Attributes:
        key: Position in the key space; equal keys are one entry.
        score: Larger is better.
        text: What the caller is shown.
    """

    key: int
    score: float
    text: str


# An entry of an answer: a scored result, or a record that is ordered by its bytes.
ResultEntry = Result | bytes


class Coverage(msgspec.Struct, frozen=True):
    """Which shards and keys an answer covers.

    Attributes:
        complete: Whether the keys are covered without gap or overlap.
        share: Covered keys over all keys, from 0 to 1.
        covered: Shards whose results are in the answer.
        missing: Shards of the pool whose results are not.
        gaps: Key ranges that nothing covers.
        overlaps: Key ranges that more than one shard covers.
    """

    complete: bool
    share: float
    covered: tuple[ServiceId, ...]
    missing: tuple[ServiceId, ...]
    gaps: tuple[KeyRange, ...]
    overlaps: tuple[KeyRange, ...]


class Answer(msgspec.Struct, frozen=True):
    """What a caller receives.

    Attributes:
        request_id: The caller's name for its request.
        outcome: What became of it.
        reason: Why, unless the outcome is ``answered``.
        detail: Explanation for people.
        snapshot: Snapshot that all results come from; 0 without results.
        coverage: What the results cover; None where nothing was asked of shards.
        results: Best first.
        sub_requests: Sub-requests that the entry sent to owners.
    """

    request_id: str
    outcome: Outcome
    reason: Refusal | None = None
    detail: str = ""
    snapshot: Snapshot = LATEST_SNAPSHOT
    coverage: Coverage | None = None
    results: tuple[Result, ...] = ()
    sub_requests: int = 0


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a caller's request.

    Attributes:
        query: The question.
        limit: Number of results wanted.
        deadline_ms: Shorter deadline than the route's; 0 for the route's.
        request_id: The caller's name for the request; empty to be given one.
        ticket: Ticket of a non-repeatable request.
    """

    query: str
    limit: int = 10
    deadline_ms: int = 0
    request_id: str = ""
    ticket: TicketId = TicketId("")

    def to_question(self) -> exchange.Question:
        """Returns the request as the kernels take it; its text is the body."""
        content = exchange.HttpRequest("POST", "/v1/search", (), self.query.encode())
        return exchange.Question(self.request_id, content, self.limit, self.deadline_ms)
