"""Events that a kernel handles and commands that it returns.

Both are immutable records. The commands depend only on the events and the times at which they
were handled, so that a recorded trace of events can be replayed.
"""

import msgspec

from monsoonhoist.core import data, exchange, placement, scheduling
from monsoonhoist.protocol import fanout, messages, server_events


class ViewChanged(msgspec.Struct, frozen=True, tag="view-changed"):
    """The tables or the set of live instances have changed.

    Attributes:
        tables: Tables in force.
        instances: Live instances, sorted; this one is among them unless it is leaving and
            others are live.
        cell: Instances, including this one, that share the calls to backend servers; empty if
            all instances share them.
        cells: Number of cells; 0 if there are none.
        fleet_size: Number of instances among which the budgets of extra calls are divided,
            including those known until recently; 0 for the number of live instances.
        topology: Where the instances of the cell and the servers are.
        known_instances: All instances known until recently, which share the quotas for cold
            servers, sorted; empty for the live instances.
    """

    tables: data.Tables
    instances: tuple[data.InstanceId, ...]
    cell: tuple[data.InstanceId, ...] = ()
    cells: int = 0
    fleet_size: int = 0
    topology: placement.Topology = placement.NO_TOPOLOGY
    known_instances: tuple[data.InstanceId, ...] = ()

    @property
    def budget_share(self) -> float:
        """Share of the deployment's budgets that one instance may use, from 0 to 1."""
        return 1.0 / max(1, len(self.instances), self.fleet_size)


class QueryArrived(msgspec.Struct, frozen=True, tag="query-arrived"):
    """A validated request of a caller has arrived.

    Attributes:
        query_id: Id of the query, unique across instances and incarnations.
        route: Route of the request.
        request: The request.
        remaining_ms: Milliseconds left until the deadline of a request with a ticket, which
            another instance may have forwarded; 0 for a request without a ticket, whose deadline
            is that of ``request``.
    """

    query_id: data.QueryId
    route: data.RouteId
    # Recorded traces have this field as ``question``.
    request: exchange.CallerRequest = msgspec.field(name="question")
    remaining_ms: int = 0


class CallerLeft(msgspec.Struct, frozen=True, tag="caller-left"):
    """The caller of a query has closed its connection."""

    query_id: data.QueryId


class ReplyArrived(msgspec.Struct, frozen=True, tag="reply-arrived"):
    """A reply of an owner has arrived at the query's entry."""

    sender: data.InstanceId
    reply: messages.SubReply


class PeerLost(msgspec.Struct, frozen=True, tag="peer-lost"):
    """The stream to an instance has ended or was not opened; replies from it are not awaited."""

    instance: data.InstanceId


class BatchUnsent(msgspec.Struct, frozen=True, tag="batch-unsent"):
    """Nothing of a batch was sent, because the stream to its owner was not up or failed.

    Attributes:
        instance: The owner.
        query_id: The query.
        attempt: Number that the batch's sub-requests have among those for their shards,
            from 1.
    """

    instance: data.InstanceId
    query_id: data.QueryId
    attempt: int


class BatchArrived(msgspec.Struct, frozen=True, tag="batch-arrived"):
    """Sub-requests of a query have arrived at their owner."""

    batch: messages.SubBatch


class BatchTaken(msgspec.Struct, frozen=True, tag="batch-taken"):
    """An owner has acknowledged that it is working on a query's sub-requests."""

    instance: data.InstanceId
    query_id: data.QueryId


class CallsWanted(msgspec.Struct, frozen=True, tag="calls-wanted"):
    """An owner has requested calls beyond the first."""

    sender: data.InstanceId
    message: messages.CallsWanted


class CallsAllowed(msgspec.Struct, frozen=True, tag="calls-allowed"):
    """The entry of a query has replied to an owner's request for more calls."""

    message: messages.CallsAllowed


class CancelArrived(msgspec.Struct, frozen=True, tag="cancel-arrived"):
    """The entry has cancelled this owner's work for a query.

    Attributes:
        query_id: The query.
        is_abandoned: Whether calls in flight are to be cancelled immediately.
        services: Shards concerned; empty for all.
    """

    query_id: data.QueryId
    is_abandoned: bool = False
    services: tuple[data.ServiceId, ...] = ()


class CallReplied(msgspec.Struct, frozen=True, tag="call-replied"):
    """A backend server has returned results.

    Attributes:
        call_id: The call.
        snapshot: Snapshot that the results were computed from.
        keys: Keys that the shard has in the snapshot.
        holdings: All snapshots that the server holds.
        results: The results.
        draining: Whether the server reports that it is draining.
        proof: The server's proof that it ran the request; empty if it sent none.
        response: The server's response, if the route passes it on unchanged.
        report: What the server said about itself.
    """

    call_id: int
    snapshot: data.Snapshot
    keys: data.KeyRange
    holdings: tuple[data.Holding, ...]
    results: tuple[data.MergeableResult, ...]
    draining: bool
    proof: str = ""
    response: exchange.Response | None = None
    report: exchange.ServerReport = exchange.NO_REPORT


class CallFailed(msgspec.Struct, frozen=True, tag="call-failed"):
    """A call has ended without results.

    Attributes:
        call_id: The call.
        reason: Why there are no results.
        may_have_run: False only if it is proved that nothing ran.
        holdings: Snapshots that the server holds; empty if it did not report them.
        response: The server's error response, if it sent one.
        report: What the server said about itself.
    """

    call_id: int
    reason: data.Refusal
    may_have_run: bool
    holdings: tuple[data.Holding, ...] = ()
    response: exchange.Response | None = None
    report: exchange.ServerReport = exchange.NO_REPORT


class ServerReported(msgspec.Struct, frozen=True, tag="server-reported"):
    """A backend server has said something about itself in a response to a health check."""

    server: data.Server
    report: exchange.ServerReport


class ServersLeaving(msgspec.Struct, frozen=True, tag="servers-leaving"):
    """Another instance of the cell has learned from backend servers that they are leaving."""

    message: messages.ServersLeaving


class TimeReached(msgspec.Struct, frozen=True, tag="time-reached"):
    """The time that the kernel's ``next_wake`` returned has been reached."""


class AnswersDue(msgspec.Struct, frozen=True, tag="answers-due"):
    """The instance is about to stop, so that every query must be answered now."""


EntryEvent = (
    ViewChanged
    | QueryArrived
    | CallerLeft
    | BatchTaken
    | CallsWanted
    | ReplyArrived
    | PeerLost
    | BatchUnsent
    | AnswersDue
    | TimeReached
)
OwnerEvent = (
    ViewChanged
    | BatchArrived
    | CallsAllowed
    | CancelArrived
    | CallReplied
    | CallFailed
    | ServerReported
    | ServersLeaving
    | TimeReached
)


class SendMessage(msgspec.Struct, frozen=True, tag="send-message"):
    """Sends a message to an instance, possibly to this one."""

    instance: data.InstanceId
    message: (
        messages.SubBatch
        | messages.SubReply
        | messages.BatchCheck
        | messages.CallsWanted
        | messages.CallsAllowed
        | messages.Cancel
        | messages.ServersLeaving
    )


class Respond(msgspec.Struct, frozen=True, tag="respond"):
    """Answers a caller's request.

    Attributes:
        query_id: The query.
        answer: The answer.
        evidence: Data that accompanies the answer; None if no sub-request was sent.
    """

    query_id: data.QueryId
    answer: data.Answer
    evidence: exchange.AnswerAttachments | None = None


class Choice(msgspec.Struct, frozen=True):
    """A candidate server, with its state at the time a server was chosen for a call.

    Attributes:
        server: The server.
        outstanding: Number of calls in flight from this instance.
        slowness: Expected latency as a multiple of the route's median.
        failure_share: Expected share of calls that fail, from 0 to 1.
    """

    server: data.ServerId
    outstanding: int
    slowness: float
    failure_share: float


class StartCall(msgspec.Struct, frozen=True, tag="start-call"):
    """Calls a backend server.

    Attributes:
        call_id: Id of the call, unique within the owner.
        server: Server to call.
        query: The query.
        snapshot: Snapshot to answer from.
        deadline: When the call times out, in monotonic seconds.
        choices: Candidates from which the server was chosen.
    """

    call_id: int
    server: data.Server
    query: fanout.QuerySpec
    snapshot: data.Snapshot
    deadline: float
    choices: tuple[Choice, ...] = ()


class CancelCall(msgspec.Struct, frozen=True, tag="cancel-call"):
    """Cancels a call to a backend server whose results are no longer needed."""

    call_id: int


class CountRefusal(msgspec.Struct, frozen=True, tag="count-refusal"):
    """Counts a refused or failed request, sub-request or call."""

    reason: data.Refusal


class CountRetry(msgspec.Struct, frozen=True, tag="count-retry"):
    """Counts a sub-request or a call that is repeated."""

    reason: data.RetryReason


class CountCallNotAllowed(msgspec.Struct, frozen=True, tag="call-not-allowed"):
    """Counts a call beyond the first that an owner requested and the entry denied."""

    query_id: data.QueryId
    service: data.ServiceId
    bound: data.Bound


class CountDecision(msgspec.Struct, frozen=True, tag="count-decision"):
    """Counts a decision of the scheduling mechanisms.

    Attributes:
        query_id: The query.
        decision: The decision.
        service: Shard that it is about; empty if it is about the query.
        server: Server that it is about; empty if it is about none.
        age_ms: Age of the work, in milliseconds.
        left_ms: Time left by which it was decided, in milliseconds; negative if none is left.
    """

    query_id: data.QueryId
    decision: scheduling.Decision
    service: str = ""
    server: str = ""
    age_ms: int = 0
    left_ms: int = 0


class CountLateReply(msgspec.Struct, frozen=True, tag="count-late-reply"):
    """Counts a reply that was dropped because it was late or a duplicate."""


Command = (
    SendMessage
    | Respond
    | StartCall
    | CancelCall
    | CountRefusal
    | CountRetry
    | CountCallNotAllowed
    | CountDecision
    | CountLateReply
    | server_events.SlowStartBegan
    | server_events.SlowStartEnded
    | server_events.ServerTurnedCold
    | server_events.CountQuotaRefusal
)
