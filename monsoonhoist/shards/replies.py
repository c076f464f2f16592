"""Batching of an owner's replies: one message for the parts that arrive close together."""

import dataclasses
from collections.abc import Callable

import msgspec

from monsoonhoist.core import data
from monsoonhoist.policy import merge
from monsoonhoist.protocol import events, fanout, messages
from monsoonhoist.shards import subrequest

MS_PER_SECOND = 1000
# How long a part is delayed to send it with others of the same query. The servers of a query's
# shards reply almost at the same time, and decoding a message costs the entry about as much time as
# decoding its parts.
GATHER_SECONDS = 0.0015


class ReplyCollector:
    """Collects parts and failures for a short time, to send few messages for each query.

    Replies to this instance itself, and a reply that completes all sub-requests of a query at this
    owner, are not delayed.

    Args:
        instance: This instance.
        has_open_sub_requests: Returns whether this owner has open sub-requests of a query.
    """

    def __init__(
        self, instance: data.InstanceId, has_open_sub_requests: Callable[[data.QueryId], bool]
    ):
        self._instance = instance
        self._has_open_sub_requests = has_open_sub_requests
        self._pending_by_key: dict[tuple[data.InstanceId, data.QueryId], PendingReply] = {}

    def add_part(
        self,
        sub: subrequest.SubRequest,
        part: fanout.Part,
        results: tuple[data.MergeableResult, ...],
    ) -> None:
        """Adds a shard's part, and merges its results with those of the same snapshot."""
        pending = self._update_pending(sub)
        pending.parts.append(part)
        merged = pending.results_by_snapshot.get(part.snapshot, ()) + results
        best = merge.find_policy(sub.query.merge).best(merged, sub.query.limit)
        pending.results_by_snapshot[part.snapshot] = best

    def add_failure(self, sub: subrequest.SubRequest, failure: fanout.Failure) -> None:
        """Adds a shard's failure."""
        self._update_pending(sub).failures.append(failure)

    def flush(self, now: float) -> list[events.Command]:
        """Returns the messages that are due at ``now``, in monotonic seconds, and removes them."""
        commands: list[events.Command] = []
        for (origin, query_id), pending in list(self._pending_by_key.items()):
            if pending.due_at is None:
                is_immediate = origin == self._instance or not self._has_open_sub_requests(query_id)
                pending.due_at = now if is_immediate else now + GATHER_SECONDS
            if pending.due_at <= now or not self._has_open_sub_requests(query_id):
                del self._pending_by_key[origin, query_id]
                commands.append(events.SendMessage(origin, pending.to_message(query_id)))
        return commands

    def next_due(self) -> float | None:
        """Returns when the next message is due, in monotonic seconds, or None."""
        dues = (pending.due_at for pending in self._pending_by_key.values())
        return min((due for due in dues if due is not None), default=None)

    def _update_pending(self, sub: subrequest.SubRequest) -> "PendingReply":
        """Returns the pending reply, updated with the sub-request's calls and queue delay."""
        key = (sub.origin, sub.query.query_id)
        pending = self._pending_by_key.setdefault(key, PendingReply())
        pending.calls += sub.calls
        pending.queue_delay_seconds = max(pending.queue_delay_seconds, sub.queue_delay_seconds)
        return pending


@dataclasses.dataclass
class PendingReply:
    """A reply under construction.

    Attributes:
        parts: Parts of the shards that returned results.
        failures: Failures of the shards that returned none.
        results_by_snapshot: Merged results of the parts, best first, for each snapshot.
        queue_delay_seconds: Longest time that one of the sub-requests was queued before its first
            call; a sub-request without a call counts as 0.
        calls: Number of calls to backend servers made for these sub-requests.
        due_at: When to send the reply, in monotonic seconds; None until the first ``flush``.
    """

    parts: list[fanout.Part] = dataclasses.field(default_factory=list)
    failures: list[fanout.Failure] = dataclasses.field(default_factory=list)
    results_by_snapshot: dict[data.Snapshot, tuple[data.MergeableResult, ...]] = dataclasses.field(
        default_factory=dict
    )
    queue_delay_seconds: float = 0.0
    calls: int = 0
    due_at: float | None = None

    def to_message(self, query_id: data.QueryId) -> messages.SubReply:
        """Returns the reply as a message."""
        return messages.SubReply(
            query_id,
            tuple(self.parts),
            tuple(self.failures),
            self.results_by_snapshot,
            round(self.queue_delay_seconds * MS_PER_SECOND),
            self.calls,
        )


def make_refusal(batch: messages.SubBatch, reason: data.Refusal) -> messages.SubReply:
    """Returns the reply that refuses all sub-requests of a batch, none of which ran."""
    failures = tuple(
        fanout.Failure(service, batch.attempt, reason, False) for service in batch.services
    )
    return messages.SubReply(batch.query.query_id, (), failures, {}, 0, 0)


def make_undeliverable(reply: messages.SubReply) -> messages.SubReply:
    """Returns the reply that is sent in place of one that is too long for a message."""
    reason = data.Refusal.MALFORMED_REPLY
    failures = tuple(
        fanout.Failure(part.service, part.attempt, reason, True, calls=1) for part in reply.parts
    )
    return messages.SubReply(
        reply.query_id,
        (),
        failures + tuple(_without_response(failure) for failure in reply.failures),
        {},
        reply.queue_delay_ms,
        reply.calls,
    )


def _without_response(failure: fanout.Failure) -> fanout.Failure:
    return msgspec.structs.replace(failure, response=None)
