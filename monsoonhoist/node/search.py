"""Native protocol to backend servers: search requests as JSON over HTTP."""

import datetime
import logging

import msgspec

from monsoonhoist import decoding, errors
from monsoonhoist.core import data, exchange
from monsoonhoist.node import backends, http_call
from monsoonhoist.protocol import events

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
        call: Name of the call, by which it can be cancelled.
        query_id: Id of the query.
        route: Route of the query.
        rank: Rank of the route.
        query: Text of the query.
        limit: Maximum number of results.
        snapshot: Snapshot to search; 0 for the newest one of the server.
        deadline_ms: Milliseconds left until the deadline.
        repeatable: Whether the request is idempotent, so that it may run twice.
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
        snapshot: Snapshot from which the results were read.
        keys: Key range of the server's shard in that snapshot.
        holdings: All snapshots that the server holds.
        results: Results, best first.
        draining: Whether the server is draining because it leaves.
    """

    snapshot: data.Snapshot
    keys: data.KeyRange
    holdings: tuple[data.Holding, ...]
    results: tuple[data.Result, ...]
    draining: bool = False


class RefusalReply(msgspec.Struct, frozen=True):
    """Body of a backend server's refusal; the request did not run.

    Attributes:
        refused: Reason code defined by the protocol.
        holdings: All snapshots that the server holds.
    """

    refused: str
    holdings: tuple[data.Holding, ...] = ()


class SearchProtocol(backends.Protocol):
    """Sends calls that have names, by which a separate call can cancel them.

    Args:
        connect_timeout: Maximum time to establish a connection.
    """

    def __init__(self, connect_timeout: datetime.timedelta):
        self._connect_timeout = connect_timeout

    def make_call(
        self, command: events.StartCall, call_name: str, remaining_seconds: float
    ) -> http_call.HttpCall:
        """Returns the HTTP call that sends the search request."""
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
        return http_call.HttpCall(
            method="POST",
            url=f"http://{command.server.address}/v1/search",
            body=msgspec.json.encode(body),
            timeout=datetime.timedelta(seconds=remaining_seconds),
            connect_timeout=self._connect_timeout,
            own_connection=not query.repeatable,
            headers=JSON_HEADERS,
            is_sent_once=True,
        )

    def make_cancellation(self, command: events.StartCall, call_name: str) -> http_call.HttpCall:
        """Returns the HTTP call that cancels a call by its name."""
        return http_call.HttpCall(
            method="DELETE",
            url=f"http://{command.server.address}/v1/search/{call_name}",
            body=b"",
            timeout=CANCEL_TIMEOUT,
            connect_timeout=self._connect_timeout,
            is_sent_once=True,
        )

    def make_health_check(self, server: data.Server) -> None:
        """Returns None, since connections are opened only by calls."""
        return None

    def read_report(self, reply: http_call.HttpReply) -> exchange.ServerReport:
        """Returns an empty report: what a server says of itself is in the body of its replies."""
        return exchange.NO_REPORT

    def read_reply(
        self, command: events.StartCall, reply: http_call.HttpReply
    ) -> events.CallReplied | events.CallFailed:
        """Returns the event for the result of a call."""
        return read_reply(command.call_id, reply)


def read_reply(call_id: int, reply: http_call.HttpReply) -> events.CallReplied | events.CallFailed:
    """Returns the event for the result of a call."""
    if reply.status == STATUS_OK:
        return _read_results(call_id, reply.body)
    if reply.status == STATUS_REFUSED:
        return _read_refusal(call_id, reply.body)
    if reply.status == STATUS_CANCELLED:
        return events.CallFailed(call_id, data.Refusal.CANCELLED, True)
    if reply.status:
        return events.CallFailed(call_id, data.Refusal.BACKEND_ERROR, True)
    if reply.defect is not None:
        return events.CallFailed(call_id, data.Refusal.MALFORMED_REPLY, True)
    if not reply.sent:
        return events.CallFailed(call_id, data.Refusal.CONNECT_FAILED, False)
    reason = data.Refusal.TIMEOUT if reply.timed_out else data.Refusal.CONNECTION_LOST
    return events.CallFailed(call_id, reason, True)


def _read_results(call_id: int, body: bytes) -> events.CallReplied | events.CallFailed:
    try:
        search_reply = decoding.decode_json(body, SearchReply)
    except errors.MalformedInputError as error:
        _log.warning("malformed reply of a backend server", extra={"error": str(error)})
        return events.CallFailed(call_id, data.Refusal.BACKEND_ERROR, True)
    return events.CallReplied(
        call_id,
        search_reply.snapshot,
        search_reply.keys,
        search_reply.holdings,
        search_reply.results,
        search_reply.draining,
    )


def _read_refusal(call_id: int, body: bytes) -> events.CallFailed:
    """Returns a refusal; one without a known code does not prove that the request did not run."""
    try:
        refusal = decoding.decode_json(body, RefusalReply)
    except errors.MalformedInputError:
        return events.CallFailed(call_id, data.Refusal.BACKEND_ERROR, True)
    reason = _REFUSAL_BY_CODE.get(refusal.refused)
    if reason is None:
        return events.CallFailed(call_id, data.Refusal.BACKEND_ERROR, True)
    return events.CallFailed(call_id, reason, False, refusal.holdings)
