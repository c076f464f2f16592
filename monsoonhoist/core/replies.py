"""Replies of an owner, put together from what one event yields."""

import dataclasses

from monsoonhoist.core import data, events, messages, subrequest, work
from monsoonhoist.policy import merge

MS_PER_SECOND = 1000


class ReplyCollector:
    """Gathers what one event yields, so that each query gets one message for it."""

    def __init__(self) -> None:
        self._pending_by_key: dict[tuple[data.InstanceId, data.QueryId], PendingReply] = {}

    def add_part(
        self, sub: subrequest.SubRequest, part: work.Part, results: tuple[data.ResultEntry, ...]
    ) -> None:
        """Adds a shard's results."""
        pending = self._pending(sub)
        pending.parts.append(part)
        merged = pending.results_by_snapshot.get(part.snapshot, ()) + results
        best = merge.named(sub.query.merge).best(merged, sub.query.limit)
        pending.results_by_snapshot[part.snapshot] = best

    def add_failure(self, sub: subrequest.SubRequest, failure: work.Failure) -> None:
        """Adds a shard's failure."""
        self._pending(sub).failures.append(failure)

    def flush(self) -> list[events.Command]:
        """Returns the messages to send and forgets them."""
        commands = [
            events.SendMessage(origin, pending.message(query_id))
            for (origin, query_id), pending in self._pending_by_key.items()
        ]
        self._pending_by_key.clear()
        return commands

    def _pending(self, sub: subrequest.SubRequest) -> "PendingReply":
        key = (sub.origin, sub.query.query_id)
        pending = self._pending_by_key.setdefault(key, PendingReply())
        pending.calls += sub.calls
        pending.queue_delay_seconds = max(pending.queue_delay_seconds, sub.queue_delay_seconds)
        return pending


@dataclasses.dataclass
class PendingReply:
    """A reply that is being put together; the fields are those of ``SubReply``."""

    parts: list[work.Part] = dataclasses.field(default_factory=list)
    failures: list[work.Failure] = dataclasses.field(default_factory=list)
    results_by_snapshot: dict[data.Snapshot, tuple[data.ResultEntry, ...]] = dataclasses.field(
        default_factory=dict
    )
    queue_delay_seconds: float = 0.0
    calls: int = 0

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
        work.Failure(service, batch.attempt, reason, False) for service in batch.services
    )
    return messages.SubReply(batch.query.query_id, (), failures, {}, 0, 0)
