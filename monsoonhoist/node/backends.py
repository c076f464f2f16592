"""Task that calls backend servers over HTTP and reads their replies."""

import datetime
import logging
from collections.abc import Callable

import msgspec

from monsoonhoist import metrics
from monsoonhoist.core import clock, data, events
from monsoonhoist.node import curl, task

CANCEL_TIMEOUT = datetime.timedelta(seconds=1)
MS_PER_SECOND = 1000
STATUS_OK = 200
STATUS_CANCELLED = 499
STATUS_REFUSED = 503

_log = logging.getLogger(__name__)

_REFUSAL_BY_WORD = {
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


BackendCommand = events.StartCall | events.CancelCall


class BackendTask(task.Task[BackendCommand]):
    """Calls backend servers as commanded.

    Args:
        name: Prefix of call names, unique to this incarnation.
        time_source: The clock.
        driver: HTTP client.
        connect_timeout: Longest duration of connecting.
        counters: Metrics.
        report: Receives the end of each call.
    """

    def __init__(
        self,
        name: str,
        time_source: clock.Clock,
        driver: curl.CurlDriver,
        connect_timeout: datetime.timedelta,
        counters: metrics.Metrics,
        report: Callable[[events.CallReplied | events.CallFailed], None],
    ):
        super().__init__()
        self._name = name
        self._clock = time_source
        self._driver = driver
        self._connect_timeout = connect_timeout
        self._counters = counters
        self._report = report
        self._server_by_call: dict[int, data.Server] = {}

    def handle(self, message: BackendCommand) -> None:
        """Starts or cancels a call."""
        match message:
            case events.StartCall():
                self._start(message)
            case events.CancelCall():
                self._cancel(message.call_id)

    def _start(self, command: events.StartCall) -> None:
        """Sends the request, unless its deadline has passed since the decision."""
        remaining = command.deadline - self._clock.monotonic()
        if remaining <= 0:
            reason = data.Refusal.EXPIRED_IN_QUEUE
            self._report(events.CallFailed(command.call_id, reason, False))
            return
        self._server_by_call[command.call_id] = command.server
        self._counters.count_call()
        call = curl.HttpCall(
            method="POST",
            url=f"http://{command.server.address}/v1/search",
            body=msgspec.json.encode(self._body(command, remaining)),
            timeout=datetime.timedelta(seconds=remaining),
            connect_timeout=self._connect_timeout,
            own_connection=not command.query.repeatable,
        )
        self._driver.start(call, lambda reply: self._finish(command.call_id, reply))

    def _body(self, command: events.StartCall, remaining: float) -> SearchBody:
        query = command.query
        return SearchBody(
            call=self._call_name(command.call_id),
            query_id=query.query_id,
            route=query.route,
            rank=query.rank,
            query=query.text,
            limit=query.limit,
            snapshot=command.snapshot,
            deadline_ms=max(1, int(remaining * MS_PER_SECOND)),
            repeatable=query.repeatable,
        )

    def _cancel(self, call_id: int) -> None:
        server = self._server_by_call.get(call_id)
        if server is None:
            return
        call = curl.HttpCall(
            method="DELETE",
            url=f"http://{server.address}/v1/search/{self._call_name(call_id)}",
            body=b"",
            timeout=CANCEL_TIMEOUT,
            connect_timeout=self._connect_timeout,
        )
        self._driver.start(call, _ignore)

    def _finish(self, call_id: int, reply: curl.HttpReply) -> None:
        del self._server_by_call[call_id]
        self._report(read_reply(call_id, reply))

    def _call_name(self, call_id: int) -> str:
        return f"{self._name}.{call_id}"


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
    reason = _REFUSAL_BY_WORD.get(refusal.refused)
    if reason is None:
        return events.CallFailed(call_id, data.Refusal.BACKEND_ERROR, True)
    return events.CallFailed(call_id, reason, False, refusal.holdings)


def _ignore(reply: curl.HttpReply) -> None:
    """Takes no note of a cancellation's end; the call itself tells."""
