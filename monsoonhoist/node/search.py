"""Protocol of our own interface to backend servers: JSON over HTTP."""

import datetime
import logging

import msgspec

from monsoonhoist.core import data, events
from monsoonhoist.node import backends, curl

CANCEL_TIMEOUT = datetime.timedelta(seconds=1)
MS_PER_SECOND = 1000
STATUS_OK = 200
STATUS_CANCELLED = 499
STATUS_REFUSED = 503
JSON_HEADERS = ("Content-Type: application/json", "Expect:")

_log = logging.getLogger(__name__)

_REFUSAL_BY_CODE = {
    "shed": data.Refusal.SHED,
    "draining": data.Refusal.DRAINING,
    "connections": data.Refusal.CONNECTIONS,
    "snapshot_gone": data.Refusal.SNAPSHOT_GONE,
    "expired": data.Refusal.EXPIRED_IN_QUEUE,
}


class SearchBody(msgspec.Struct, frozen=True):
    """Body of a call to a backend server.

    Attributes:
        call: Name of the call, for cancelling it.
        query_id: Name of the query.
        route: Route of the query.
        rank: Rank of the route.
        query: The question.
        limit: Number of results wanted.
        snapshot: Snapshot to answer from; 0 for the server's newest.
        deadline_ms: Time left.
        repeatable: Whether running the request twice does no harm.
    """

    call: str
    query_id: data.QueryId
    route: data.RouteId
    rank: data.Rank
    query: str
    limit: int
    snapshot: data.Snapshot
    deadline_ms: int
    repeatable: bool


class SearchReply(msgspec.Struct, frozen=True):
    """Body of a backend server's reply.

    Attributes:
        snapshot: Snapshot of the results.
        keys: Keys that the server's shard has in it.
        holdings: All snapshots that the server holds.
        results: Best first.
        draining: Whether the server is leaving.
    """

    snapshot: data.Snapshot
    keys: data.KeyRange
    holdings: tuple[data.Holding, ...]
    results: tuple[data.Result, ...]
    draining: bool = False


class RefusalReply(msgspec.Struct, frozen=True):
    """Body of a backend server's refusal; the request did not run.

    Attributes:
        refused: One of the protocol's words for the reason.
        holdings: All snapshots that the server holds.
    """

    refused: str
    holdings: tuple[data.Holding, ...] = ()


class SearchProtocol(backends.Protocol):
    """Calls are named, so that they can be cancelled by a call of their own.

    Args:
        connect_timeout: Longest duration of connecting.
    """

    def __init__(self, connect_timeout: datetime.timedelta):
        self._connect_timeout = connect_timeout

    def make_call(
        self, command: events.StartCall, call_name: str, remaining_seconds: float
    ) -> curl.HttpCall:
        """Returns the call to make."""
        query = command.query
        body = SearchBody(
            call=call_name,
            query_id=query.query_id,
            route=query.route,
            rank=query.rank,
            query=query.content.body.decode(),
            limit=query.limit,
            snapshot=command.snapshot,
            deadline_ms=max(1, int(remaining_seconds * MS_PER_SECOND)),
            repeatable=query.repeatable,
        )
        return curl.HttpCall(
            method="POST",
            url=f"http://{command.server.address}/v1/search",
            body=msgspec.json.encode(body),
            timeout=datetime.timedelta(seconds=remaining_seconds),
            connect_timeout=self._connect_timeout,
            own_connection=not query.repeatable,
            headers=JSON_HEADERS,
        )

    def make_cancellation(self, command: events.StartCall, call_name: str) -> curl.HttpCall:
        """Returns the call that cancels another one."""
        return curl.HttpCall(
            method="DELETE",
            url=f"http://{command.server.address}/v1/search/{call_name}",
            body=b"",
            timeout=CANCEL_TIMEOUT,
            connect_timeout=self._connect_timeout,
        )

    def make_health_check(self, server: data.Server) -> None:
        """Returns None: connections are opened by calls."""
        return None

    def read_reply(
        self, command: events.StartCall, reply: curl.HttpReply
    ) -> events.CallReplied | events.CallFailed:
        """Returns the event that the end of a call stands for."""
        return read_reply(command.call_id, reply)


def read_reply(call_id: int, reply: curl.HttpReply) -> events.CallReplied | events.CallFailed:
    """Returns the event that the end of a call stands for."""
    if reply.status == STATUS_OK:
        return _read_results(call_id, reply.body)
    if reply.status == STATUS_REFUSED:
        return _read_refusal(call_id, reply.body)
    if reply.status == STATUS_CANCELLED:
        return events.CallFailed(call_id, data.Refusal.CANCELLED, True)
    if reply.status:
        return events.CallFailed(call_id, data.Refusal.BACKEND_ERROR, True)
    if not reply.sent:
        return events.CallFailed(call_id, data.Refusal.CONNECT_FAILED, False)
    reason = data.Refusal.TIMEOUT if reply.timed_out else data.Refusal.CONNECTION_LOST
    return events.CallFailed(call_id, reason, True)


def _read_results(call_id: int, body: bytes) -> events.CallReplied | events.CallFailed:
    try:
        found = msgspec.json.decode(body, type=SearchReply)
    except msgspec.MsgspecError as error:
        _log.warning("malformed reply of a backend server", extra={"error": str(error)})
        return events.CallFailed(call_id, data.Refusal.BACKEND_ERROR, True)
    return events.CallReplied(
        call_id, found.snapshot, found.keys, found.holdings, found.results, found.draining
    )


def _read_refusal(call_id: int, body: bytes) -> events.CallFailed:
    """Returns a refusal; one without a known word is no proof that nothing ran."""
    try:
        refusal = msgspec.json.decode(body, type=RefusalReply)
    except msgspec.MsgspecError:
        return events.CallFailed(call_id, data.Refusal.BACKEND_ERROR, True)
    reason = _REFUSAL_BY_CODE.get(refusal.refused)
    if reason is None:
        return events.CallFailed(call_id, data.Refusal.BACKEND_ERROR, True)
    return events.CallFailed(call_id, reason, False, refusal.holdings)
