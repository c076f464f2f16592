"""Batching of an owner's requests to entries for permission to make more calls."""

from monsoonhoist.core import data
from monsoonhoist.protocol import events, messages
from monsoonhoist.shards import subrequest


class CallRequestCollector:
    """Collects the requests made while handling an event, to send one message for each query."""

    def __init__(self) -> None:
        self._requests_by_key: dict[
            tuple[data.InstanceId, data.QueryId], list[messages.CallRequest]
        ] = {}

    def add(self, sub: subrequest.SubRequest, reason: data.RetryReason) -> None:
        """Requests one more call for a sub-request.

        If a request is already pending, the new one is made after a denial of that request.
        """
        if sub.pending_request_reason is not None:
            sub.next_request_reason = reason
            return
        sub.pending_request_reason = reason
        request = messages.CallRequest(
            sub.service, sub.attempt, sub.allowed, sub.unused_calls, reason
        )
        self._requests_by_key.setdefault((sub.origin, sub.query.query_id), []).append(request)

    def flush(self) -> list[events.Command]:
        """Returns the messages to send and clears the collection."""
        commands = [
            events.SendMessage(origin, messages.CallsWanted(query_id, tuple(requests)))
            for (origin, query_id), requests in self._requests_by_key.items()
        ]
        self._requests_by_key.clear()
        return commands
