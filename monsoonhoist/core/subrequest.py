"""A sub-request at its owner, and the calls that serve it."""

import dataclasses

from monsoonhoist.core import data, events, exchange, fanout, messages, server

MS_PER_SECOND = 1000


@dataclasses.dataclass
class Call:
    """A call to a backend server.

    Attributes:
        call_id: Name of the call.
        sub: Sub-request that it serves.
        server: Server called.
        started: Start, in monotonic seconds.
        cancelled: Whether its results are not needed any more.
    """

    call_id: int
    sub: "SubRequest"
    server: server.ServerState
    started: float
    cancelled: bool = False


@dataclasses.dataclass
class SubRequest:
    """A sub-request at its owner.

    Attributes:
        origin: Instance that waits for it.
        query: The query.
        service: The shard.
        attempt: Number of the entry's attempt.
        snapshot: Snapshot asked for.
        deadline: End, in monotonic seconds.
        arrived: Arrival, in monotonic seconds.
        call_by_id: Calls in flight.
        tried_server_ids: Servers called so far.
        calls: Number of calls made.
        unused_calls: Number of these that are proved to have run nothing.
        queue_delay_seconds: Wait before the first call.
        last_failure: Most recent failed call's reason.
        last_response: Most recent failure that a server gave itself.
        may_have_run: Whether any call may have run.
        closed: Whether the origin has been answered.
        queued: Whether it is in the queue.
        allowed: Calls that the entry has allowed.
        pending_request: Why one more call has been asked for; None if the entry has answered.
    """

    origin: data.InstanceId
    query: fanout.QuerySpec
    service: data.ServiceId
    attempt: int
    snapshot: data.Snapshot
    deadline: float
    arrived: float
    call_by_id: dict[int, Call] = dataclasses.field(default_factory=dict)
    tried_server_ids: list[data.ServerId] = dataclasses.field(default_factory=list)
    calls: int = 0
    unused_calls: int = 0
    queue_delay_seconds: float = 0.0
    last_failure: data.Refusal | None = None
    last_response: exchange.Response | None = None
    may_have_run: bool = False
    closed: bool = False
    queued: bool = False
    allowed: int = 1
    pending_request: data.RetryReason | None = None


def make_sub_request(batch: messages.SubBatch, service: data.ServiceId, now: float) -> SubRequest:
    """Returns the sub-request for one shard of a batch.

    Args:
        batch: The batch.
        service: The shard.
        now: The time, in monotonic seconds.
    """
    spec = batch.query
    deadline = now + spec.remaining_ms / MS_PER_SECOND
    return SubRequest(batch.origin, spec, service, batch.attempt, batch.snapshot, deadline, now)


def make_failure(
    sub: SubRequest, reason: data.Refusal, holdings: tuple[data.Holding, ...]
) -> fanout.Failure:
    """Returns what the origin is told of a sub-request without results."""
    return fanout.Failure(
        sub.service,
        sub.attempt,
        reason,
        sub.may_have_run,
        holdings,
        sub.last_response,
        calls=sub.calls - sub.unused_calls,
    )


def make_start_call(call: Call, choices: tuple[events.Choice, ...]) -> events.StartCall:
    """Returns the command that starts a call."""
    sub = call.sub
    return events.StartCall(
        call.call_id, call.server.server, sub.query, sub.snapshot, sub.deadline, choices
    )
