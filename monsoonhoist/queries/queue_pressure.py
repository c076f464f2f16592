"""Queue pressure of a query, which follows from its replies and by which admission adapts."""

from monsoonhoist.core import data
from monsoonhoist.protocol import events, messages
from monsoonhoist.queries import query

MS_PER_SECOND = 1000

# Reasons for which a failure of a sub-request counts as overload of its pool.
_OVERLOAD_REASONS = (
    data.Refusal.EXPIRED_IN_QUEUE,
    data.Refusal.QUEUE_FULL,
    data.Refusal.SHED,
)


def record(
    state: query.QueryState, reply: messages.SubReply, commands: list[events.Command]
) -> None:
    """Updates a query's queue pressure and counts the failures in a reply."""
    deadline_ms = max(1.0, state.route.deadline.total_seconds() * MS_PER_SECOND)
    state.queue_pressure = max(state.queue_pressure, reply.queue_delay_ms / deadline_ms)
    for failure in reply.failures:
        commands.append(events.CountRefusal(failure.reason))
        if failure.reason in _OVERLOAD_REASONS:
            state.queue_pressure = 1.0
