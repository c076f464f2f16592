"""Questions of an owner for more calls, put together from what one event yields."""

from monsoonhoist.core import data, events, messages, subrequest


class CallRequestCollector:
    """Gathers what one event yields, so that each query's entry gets one message for it."""

    def __init__(self) -> None:
        self._requests_by_key: dict[tuple[data.InstanceId, data.QueryId], list[messages.Want]] = {}

    def add(self, sub: subrequest.SubRequest, reason: data.RetryReason) -> None:
        """Asks for one more call for a sub-request, unless that has been asked already."""
        if sub.pending_request is not None:
            return
        sub.pending_request = reason
        want = messages.Want(sub.service, sub.attempt, sub.allowed, sub.unused_calls, reason)
        self._requests_by_key.setdefault((sub.origin, sub.query.query_id), []).append(want)

    def flush(self) -> list[events.Command]:
        """Returns the messages to send and forgets them."""
        commands = [
            events.SendMessage(origin, messages.CallsWanted(query_id, tuple(wants)))
            for (origin, query_id), wants in self._requests_by_key.items()
        ]
        self._requests_by_key.clear()
        return commands
