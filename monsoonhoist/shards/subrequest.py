"""State of a sub-request at its owner, and of its calls to backend servers."""

import dataclasses
import math

from monsoonhoist.core import data, exchange, scheduling
from monsoonhoist.protocol import events, fanout, messages
from monsoonhoist.shards import server

MS_PER_SECOND = 1000


@dataclasses.dataclass
class Call:
    """A call to a backend server.

    Attributes:
        call_id: Id of the call, unique within the owner.
        sub: The sub-request for which the call is made.
        server: The server called.
        started_at: Start, in monotonic seconds.
        cancelled: Whether the call was cancelled because its results are no longer needed.
    """

    call_id: int
    sub: "SubRequest"
    server: server.ServerState
    started_at: float
    cancelled: bool = False


@dataclasses.dataclass
class SubRequest:
    """State of a sub-request at its owner.

    Attributes:
        origin: The query's entry, which sent the sub-request and waits for the reply.
        query: The query.
        service: The shard.
        attempt: Number of the sub-request among those for the shard, from 1.
        snapshot: Snapshot to answer from; with ``LATEST_SNAPSHOT`` the servers choose it.
        deadline: Deadline, in monotonic seconds.
        arrived_at: Time of arrival, in monotonic seconds.
        call_by_id: Calls in flight.
        tried_server_ids: Servers called so far, in order.
        calls: Number of calls made.
        unused_calls: Number of these calls that are proved to have run nothing.
        queue_delay_seconds: Time in the queue before the first call; 0 without a call.
        last_failure: Reason of the most recent failed call; None before any.
        last_response: Most recent error response of a server; None before any.
        may_have_run: Whether any call may have run; a call in flight does not count before the
            deadline.
        closed: Whether the sub-request is finished: replied to, or cancelled by the entry.
        queued: Whether the sub-request is in the queue.
        allowed: Number of calls that the entry has allowed, the first included.
        pending_request_reason: Reason of the request for one more call to which the entry has not
            replied yet; None if there is none.
        next_request_reason: Reason of the request to make if the pending one is denied; None if
            there is none.
        goal_at: When the entry wants the part to meet the route's goal, in monotonic seconds; the
            deadline without a goal.
        start_by: When a call must start to be expected by then; infinite if the queue does not
            use it.
        is_held: Whether it has waited for a slot although a server had one that was kept for more
            urgent work.
    """

    origin: data.InstanceId
    query: fanout.QuerySpec
    service: data.ServiceId
    attempt: int
    snapshot: data.Snapshot
    deadline: float
    arrived_at: float
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
    pending_request_reason: data.RetryReason | None = None
    next_request_reason: data.RetryReason | None = None
    goal_at: float = math.inf
    start_by: float = math.inf
    is_held: bool = False

    def add_call(self, call: Call) -> None:
        """Records the start of a call."""
        if not self.calls:
            self.queue_delay_seconds = call.started_at - self.arrived_at
        self.calls += 1
        self.tried_server_ids.append(call.server.server.server_id)
        self.call_by_id[call.call_id] = call
        call.server.started_at_by_call_id[call.call_id] = call.started_at


def make_sub_request(batch: messages.SubBatch, service: data.ServiceId, now: float) -> SubRequest:
    """Returns the sub-request for one shard of a batch.

    Args:
        batch: The batch.
        service: The shard.
        now: The time, in monotonic seconds.
    """
    spec = batch.query
    deadline = now + spec.remaining_ms / MS_PER_SECOND
    goal_at = deadline
    if spec.goal_left_ms is not None:
        goal_at = min(deadline, now + spec.goal_left_ms / MS_PER_SECOND)
    return SubRequest(
        batch.origin, spec, service, batch.attempt, batch.snapshot, deadline, now, goal_at=goal_at
    )


def make_start_call(call: Call, choices: tuple[events.Choice, ...]) -> events.StartCall:
    """Returns the command that starts a call.

    Args:
        call: The call.
        choices: The candidates from which the server was chosen.
    """
    sub = call.sub
    return events.StartCall(
        call.call_id, call.server.server, sub.query, sub.snapshot, sub.deadline, choices
    )


def make_decision(
    sub: SubRequest, decision: scheduling.Decision, now: float, until: float
) -> events.CountDecision:
    """Returns the command that counts and logs a decision on a sub-request.

    Args:
        sub: The sub-request.
        decision: The decision.
        now: The time, in monotonic seconds.
        until: The goal or deadline by which it was decided, in monotonic seconds.
    """
    return events.CountDecision(
        sub.query.query_id,
        decision,
        sub.service,
        age_ms=int((now - sub.arrived_at) * MS_PER_SECOND),
        left_ms=int((until - now) * MS_PER_SECOND),
    )
