"""Events that the kernel takes and commands that it returns.

Both are immutable records. An event and the time at which it is handled determine the
commands, so that a recorded trace of events can be replayed.
"""

import msgspec

from monsoonhoist.core import data, exchange, fanout, messages


class ViewChanged(msgspec.Struct, frozen=True, tag="view-changed"):
    """The tables or the live instances have changed.

    Attributes:
        tables: Tables in force.
        instances: Live instances, sorted, this one included.
        cell: Instances that share the calls to backend servers with this one, this one
            included; empty where all instances do.
        cells: Number of such cells; 0 where there are none.
        fleet_size: Number of instances among which limits are divided, which counts those
            that were known lately; 0 for the live ones.
    """

    tables: data.Tables
    instances: tuple[data.InstanceId, ...]
    cell: tuple[data.InstanceId, ...] = ()
    cells: int = 0
    fleet_size: int = 0

    @property
    def budget_share(self) -> float:
        """Share of the fleet's budgets that one instance may use, from 0 to 1."""
        return 1.0 / max(1, len(self.instances), self.fleet_size)


class QueryArrived(msgspec.Struct, frozen=True, tag="query-arrived"):
    """A caller's checked request.

    Attributes:
        query_id: Name unique over instances and incarnations.
        route: Route of the request.
        question: The request.
        remaining_ms: Time left, if another instance forwarded the request; else 0.
    """

    query_id: data.QueryId
    route: data.RouteId
    question: exchange.Question
    remaining_ms: int = 0


class CallerLeft(msgspec.Struct, frozen=True, tag="caller-left"):
    """The caller of a query has closed its connection."""

    query_id: data.QueryId


class ReplyArrived(msgspec.Struct, frozen=True, tag="reply-arrived"):
    """An owner's reply to this entry."""

    sender: data.InstanceId
    reply: messages.SubReply


class PeerLost(msgspec.Struct, frozen=True, tag="peer-lost"):
    """The stream to an instance has ended; its replies will not come."""

    instance: data.InstanceId


class BatchUnsent(msgspec.Struct, frozen=True, tag="batch-unsent"):
    """No byte of a batch was handed to its owner, for lack of a stream.

    Attributes:
        instance: The owner.
        query_id: The query.
        attempt: Number of the entry's attempt.
    """

    instance: data.InstanceId
    query_id: data.QueryId
    attempt: int


class BatchArrived(msgspec.Struct, frozen=True, tag="batch-arrived"):
    """Sub-requests for this owner."""

    batch: messages.SubBatch


class BatchTaken(msgspec.Struct, frozen=True, tag="batch-taken"):
    """An owner has the sub-requests that it was sent."""

    instance: data.InstanceId
    query_id: data.QueryId


class CallsWanted(msgspec.Struct, frozen=True, tag="calls-wanted"):
    """An owner asks for calls beyond the first."""

    sender: data.InstanceId
    message: messages.CallsWanted


class CallsAllowed(msgspec.Struct, frozen=True, tag="calls-allowed"):
    """The entry of a query has answered an owner that asked for more calls."""

    message: messages.CallsAllowed


class CancelArrived(msgspec.Struct, frozen=True, tag="cancel-arrived"):
    """A query needs no more work from this owner; see ``messages.Cancel``."""

    query_id: data.QueryId
    is_abandoned: bool = False
    services: tuple[data.ServiceId, ...] = ()


class CallReplied(msgspec.Struct, frozen=True, tag="call-replied"):
    """A backend server's results.

    Attributes:
        call_id: The call.
        snapshot: Snapshot of the results.
        keys: Keys that the shard has in the snapshot.
        holdings: All snapshots that the server holds.
        results: The results.
        draining: Whether the server says that it is leaving.
        proof: See ``fanout.Part``.
        response: See ``fanout.Part``.
    """

    call_id: int
    snapshot: data.Snapshot
    keys: data.KeyRange
    holdings: tuple[data.Holding, ...]
    results: tuple[data.ResultEntry, ...]
    draining: bool
    proof: str = ""
    response: exchange.Response | None = None


class CallFailed(msgspec.Struct, frozen=True, tag="call-failed"):
    """A call without results.

    Attributes:
        call_id: The call.
        reason: Why there are no results.
        may_have_run: False only where it is proved that nothing ran.
        holdings: Snapshots held, where the server named them.
        response: The server's own failure, if it gave one.
        load: What the server says of its load, if it does.
    """

    call_id: int
    reason: data.Refusal
    may_have_run: bool
    holdings: tuple[data.Holding, ...] = ()
    response: exchange.Response | None = None
    load: exchange.Load | None = None


class TimeReached(msgspec.Struct, frozen=True, tag="time-reached"):
    """The time asked for by ``next_wake`` has come."""


EntryEvent = (
    ViewChanged
    | QueryArrived
    | CallerLeft
    | BatchTaken
    | CallsWanted
    | ReplyArrived
    | PeerLost
    | BatchUnsent
    | TimeReached
)
OwnerEvent = (
    ViewChanged
    | BatchArrived
    | CallsAllowed
    | CancelArrived
    | CallReplied
    | CallFailed
    | TimeReached
)


class SendMessage(msgspec.Struct, frozen=True, tag="send-message"):
    """Sends a message to an instance, which may be this one."""

    instance: data.InstanceId
    message: (
        messages.SubBatch
        | messages.SubReply
        | messages.BatchCheck
        | messages.CallsWanted
        | messages.CallsAllowed
        | messages.Cancel
    )


class Respond(msgspec.Struct, frozen=True, tag="respond"):
    """Answers a caller's request.

    Attributes:
        query_id: The query.
        answer: The answer.
        evidence: What else the answer holds; None where nothing was asked of shards.
    """

    query_id: data.QueryId
    answer: data.Answer
    evidence: exchange.AnswerAttachments | None = None


class Choice(msgspec.Struct, frozen=True):
    """A server that could have been called, as it looked then.

    Attributes:
        server: The server.
        outstanding: Calls in flight from this instance.
        slowness: Expected latency as a multiple of the usual one.
        failure_share: Expected share of calls that fail, from 0 to 1.
    """

    server: data.ServerId
    outstanding: int
    slowness: float
    failure_share: float


class StartCall(msgspec.Struct, frozen=True, tag="start-call"):
    """Calls a backend server.

    Attributes:
        call_id: Name of the call, unique within the owner.
        server: Server to call.
        query: The query.
        snapshot: Snapshot to answer from.
        deadline: End of the call, in monotonic seconds.
        choices: What the choice of the server was based on.
    """

    call_id: int
    server: data.Server
    query: fanout.QuerySpec
    snapshot: data.Snapshot
    deadline: float
    choices: tuple[Choice, ...] = ()


class CancelCall(msgspec.Struct, frozen=True, tag="cancel-call"):
    """Tells a backend server that a call's results are not needed."""

    call_id: int


class CountRefusal(msgspec.Struct, frozen=True, tag="count-refusal"):
    """Counts a refused or lost request, sub-request or call."""

    reason: data.Refusal


class CountRetry(msgspec.Struct, frozen=True, tag="count-retry"):
    """Counts a sub-request that is sent again."""

    reason: data.RetryReason


class CallNotAllowed(msgspec.Struct, frozen=True, tag="call-not-allowed"):
    """Counts a call beyond the first that an owner asked for and may not make."""

    query_id: data.QueryId
    service: data.ServiceId
    bound: data.Bound


class CountLateReply(msgspec.Struct, frozen=True, tag="count-late-reply"):
    """Counts a reply dropped as late or duplicate."""


Command = (
    SendMessage
    | Respond
    | StartCall
    | CancelCall
    | CountRefusal
    | CountRetry
    | CallNotAllowed
    | CountLateReply
)
