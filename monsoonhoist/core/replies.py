"""Replies of an owner, put together from what comes within a moment."""

import dataclasses
from collections.abc import Callable

from monsoonhoist.core import data, events, fanout, messages, subrequest
from monsoonhoist.policy import merge

MS_PER_SECOND = 1000
# How long a part waits for others of the same query. Reading a message costs the entry about as
# much time as its parts do, and the servers of a query's shards answer close together.
GATHER_SECONDS = 0.0015


class ReplyCollector:
    """Gathers what comes within a moment, so that each query gets one message for it.

    What is for this instance itself, or ends its share of a query, does not wait.

    Args:
        myself: This instance.
        has_open_sub_requests: Returns whether sub-requests of a query are still open here.
    """

    def __init__(
        self, myself: data.InstanceId, has_open_sub_requests: Callable[[data.QueryId], bool]
    ):
        self._myself = myself
        self._has_open_sub_requests = has_open_sub_requests
        self._pending_by_key: dict[tuple[data.InstanceId, data.QueryId], PendingReply] = {}

    def add_part(
        self, sub: subrequest.SubRequest, part: fanout.Part, results: tuple[data.ResultEntry, ...]
    ) -> None:
        """Adds a shard's results."""
        pending = self._pending(sub)
        pending.parts.append(part)
        merged = pending.results_by_snapshot.get(part.snapshot, ()) + results
        best = merge.named(sub.query.merge).best(merged, sub.query.limit)
        pending.results_by_snapshot[part.snapshot] = best

    def add_failure(self, sub: subrequest.SubRequest, failure: fanout.Failure) -> None:
        """Adds a shard's failure."""
        self._pending(sub).failures.append(failure)

    def flush(self, now: float) -> list[events.Command]:
        """Returns the messages that are due, in monotonic seconds, and forgets them."""
        commands: list[events.Command] = []
        for (origin, query_id), pending in list(self._pending_by_key.items()):
            if pending.due_at is None:
                is_last = origin == self._myself or not self._has_open_sub_requests(query_id)
                pending.due_at = now if is_last else now + GATHER_SECONDS
            if pending.due_at <= now or not self._has_open_sub_requests(query_id):
                del self._pending_by_key[origin, query_id]
                commands.append(events.SendMessage(origin, pending.message(query_id)))
        return commands

    def next_due(self) -> float | None:
        """Returns when the next message is due, in monotonic seconds, or None."""
        dues = (pending.due_at for pending in self._pending_by_key.values())
        return min((due for due in dues if due is not None), default=None)

    def _pending(self, sub: subrequest.SubRequest) -> "PendingReply":
        key = (sub.origin, sub.query.query_id)
        pending = self._pending_by_key.setdefault(key, PendingReply())
        pending.calls += sub.calls
        pending.queue_delay_seconds = max(pending.queue_delay_seconds, sub.queue_delay_seconds)
        return pending


@dataclasses.dataclass
class PendingReply:
    """A reply that is being put together; the fields are those of ``SubReply``.

    Attributes:
        due_at: When the reply is sent, in monotonic seconds; None until that is decided.
    """

    parts: list[fanout.Part] = dataclasses.field(default_factory=list)
    failures: list[fanout.Failure] = dataclasses.field(default_factory=list)
    results_by_snapshot: dict[data.Snapshot, tuple[data.ResultEntry, ...]] = dataclasses.field(
        default_factory=dict
    )
    queue_delay_seconds: float = 0.0
    calls: int = 0
    due_at: float | None = None

    def message(self, query_id: data.QueryId) -> messages.SubReply:
        """Returns the finished reply."""
        return messages.SubReply(
            query_id,
            tuple(self.parts),
            tuple(self.failures),
            self.results_by_snapshot,
            round(self.queue_delay_seconds * MS_PER_SECOND),
            self.calls,
        )


def refusal(batch: messages.SubBatch, reason: data.Refusal) -> messages.SubReply:
    """Returns the reply that refuses a whole batch of which nothing ran."""
    failures = tuple(
        fanout.Failure(service, batch.attempt, reason, False) for service in batch.services
    )
    return messages.SubReply(batch.query.query_id, (), failures, {}, 0, 0)
