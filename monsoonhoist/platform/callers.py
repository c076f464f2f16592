"""HTTP servers for callers, the load balancer and operators, as the platform defines them."""

import asyncio
import logging
import re

import msgspec
from tornado import httputil, iostream

from monsoonhoist import metrics
from monsoonhoist.core import data, exchange
from monsoonhoist.node import node, phases
from monsoonhoist.node import status as node_status
from monsoonhoist.overload import retry_after
from monsoonhoist.platform import wire_names
from monsoonhoist.protocol import events

MS_PER_SECOND = 1000
METHOD_HEAD = "HEAD"
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_BODY_TOO_LARGE = 413
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
# Header fields of a request that are not forwarded to backend servers unchanged, in lower case.
UNFORWARDED_HEADERS = wire_names.CONNECTION_HEADERS | {
    "content-length",
    "expect",
    wire_names.DEADLINE_HEADER.lower(),
    wire_names.SERVER_ID_HEADER.lower(),
}

# A longer number exceeds any route's deadline, which then applies.
_DEADLINE_PATTERN = re.compile(r"[0-9]{1,15}")

_log = logging.getLogger(__name__)


class CallerRequestHandler(httputil.HTTPMessageDelegate):
    """Handles one request of a caller: starts a query and writes its answer.

    Args:
        local_node: The node that runs the query.
        connection: The caller's connection.
    """

    def __init__(self, local_node: node.Node, connection: httputil.HTTPConnection):
        self._node = local_node
        self._connection = connection
        self._body = bytearray()
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._answer_future: asyncio.Future[events.Respond] | None = None

    def headers_received(
        self, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        """Stores the request line and headers, and registers the close callback."""
        self._start_line = start_line
        self._headers = headers
        self._connection.set_close_callback(self.on_connection_close)

    def data_received(self, chunk: bytes) -> None:
        """Stores a chunk of the body."""
        self._body += chunk

    def finish(self) -> None:
        """Starts the query when the request is complete, or refuses it."""
        request_id = self._headers.get(wire_names.REQUEST_ID_HEADER, "")
        refusal = self._node.refusal_reason()
        if refusal is not None:
            self._refuse(data.Answer(request_id, data.Outcome.NOT_RUN, refusal))
            return
        path = self._start_line.path.partition("?")[0]
        route = self._node.pending_queries.match_route(self._headers.get("Host", ""), path)
        if route is None:
            self._refuse(data.Answer(request_id, data.Outcome.NOT_RUN, data.Refusal.UNKNOWN_ROUTE))
            return
        deadline_ms = parse_deadline_ms(self._headers)
        if not self._node.stop_schedule.may_accept(route, deadline_ms):
            self._refuse(data.Answer(request_id, data.Outcome.NOT_RUN, data.Refusal.LEAVING))
            return
        request = exchange.CallerRequest(
            request_id=request_id,
            content=self._make_http_request(),
            deadline_ms=deadline_ms,
            is_clamped=True,
            caller=self._connection.context.remote_ip,
        )
        self._answer_future = self._node.pending_queries.start(route.route_id, request)
        self._answer_future.add_done_callback(lambda future: self._handle_answer(route, future))

    def on_connection_close(self) -> None:
        """Abandons the query if the caller closes its connection before the answer."""
        if self._answer_future is not None and not self._answer_future.done():
            self._node.pending_queries.abandon(self._answer_future)

    def _make_http_request(self) -> exchange.HttpRequest:
        headers = tuple(
            exchange.Header(name, value)
            for name, value in self._headers.get_all()
            if name.lower() not in UNFORWARDED_HEADERS
        )
        body = bytes(self._body)
        self._body.clear()
        return exchange.HttpRequest(self._start_line.method, self._start_line.path, headers, body)

    def _refuse(self, answer: data.Answer) -> None:
        self._node.pending_queries.record_refusal(answer)
        query_id = self._node.pending_queries.next_id()
        self._send(events.Respond(query_id, answer))

    def _handle_answer(
        self, route: data.Route, answer_future: asyncio.Future[events.Respond]
    ) -> None:
        if answer_future.cancelled():
            return
        command = answer_future.result()
        # The answer is not held while a slow caller reads it.
        self._answer_future = None
        self._node.pending_queries.count_answer(route.rank, command.answer)
        self._send(command)

    def _send(self, command: events.Respond) -> None:
        """Writes an answer; one whose connection is closed is dropped with a debug log line.

        A caller to whom an answer cannot be written must not wait for it: the connection closes.
        """
        try:
            self._write(make_response(command))
        except (iostream.StreamClosedError, httputil.HTTPOutputError) as error:
            _log.debug("answer not sent", extra={"error": str(error)})
        except Exception:
            _log.exception("answer not written", extra={"request_id": command.answer.request_id})
            self._connection.close()

    def _write(self, response: exchange.Response) -> None:
        headers = httputil.HTTPHeaders()
        for header in response.headers:
            headers.add(header.name, header.value)
        if self._node.phase is not phases.Phase.READY:
            headers["Connection"] = "close"
        is_head = self._start_line.method == METHOD_HEAD
        write_response(self._connection, response.status, headers, response.body, is_head)


class CallerConnectionDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates a ``CallerRequestHandler`` for each request.

    Args:
        local_node: The node that runs the queries.
    """

    def __init__(self, local_node: node.Node):
        self._node = local_node

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the handler of a new request."""
        return CallerRequestHandler(self._node, request_conn)


class ControlRequestHandler(httputil.HTTPMessageDelegate):
    """Handles one request of the load balancer or an operator: readiness, status or metrics.

    Args:
        local_node: The node that is described.
        connection: The connection of the client.
    """

    def __init__(self, local_node: node.Node, connection: httputil.HTTPConnection):
        self._node = local_node
        self._connection = connection
        self._method = ""
        self._path = ""
        self._export_task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        """Stores the method and the path."""
        self._method = start_line.method
        self._path = start_line.path

    def finish(self) -> None:
        """Writes the response, that with the metrics once they are exported."""
        if self._path == "/metrics":
            self._export_task = asyncio.create_task(self._send_metrics())
        elif self._path == wire_names.READY_PATH:
            is_ready = self._node.phase is phases.Phase.READY
            status = STATUS_OK if is_ready else STATUS_UNAVAILABLE
            self._send(status, "text/plain", self._node.phase.value.encode())
        elif self._path == "/v1/status":
            body = msgspec.json.encode(node_status.make_status(self._node))
            self._send(STATUS_OK, "application/json", body)
        else:
            self._send(STATUS_NOT_FOUND, "text/plain", b"")

    async def _send_metrics(self) -> None:
        self._send(STATUS_OK, metrics.CONTENT_TYPE, await self._node.counters.export())

    def _send(self, status: int, content_type: str, body: bytes) -> None:
        """Writes a response; one whose connection is closed is dropped with a debug log line."""
        headers = httputil.HTTPHeaders({"Content-Type": content_type})
        is_head = self._method == METHOD_HEAD
        try:
            write_response(self._connection, status, headers, body, is_head)
        except (iostream.StreamClosedError, httputil.HTTPOutputError) as error:
            _log.debug("response not sent", extra={"error": str(error)})


class ControlConnectionDelegate(CallerConnectionDelegate):
    """Creates a ``ControlRequestHandler`` for each request of the load balancer or an operator."""

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the handler of a new request."""
        return ControlRequestHandler(self._node, request_conn)


def write_response(
    connection: httputil.HTTPConnection,
    status: int,
    headers: httputil.HTTPHeaders,
    body: bytes,
    is_head: bool,
) -> None:
    """Writes a response to a connection, without its body if the request's method is HEAD.

    Args:
        connection: The connection of the request.
        status: HTTP status.
        headers: Header fields, to which ``Content-Length`` is added. That of a backend server's
            response to HEAD, whose body is empty, remains.
        body: The body.
        is_head: Whether the request's method is HEAD.

    Raises:
        StreamClosedError: If the connection is closed.
        HTTPOutputError: If the body does not have the length that the header fields state.
    """
    if body or not is_head:
        headers["Content-Length"] = str(len(body))
    start_line = httputil.ResponseStartLine(
        "HTTP/1.1", status, httputil.responses.get(status, "Unknown")
    )
    connection.write_headers(start_line, headers, b"" if is_head else body)
    connection.finish()


def make_response(command: events.Respond) -> exchange.Response:
    """Returns the HTTP response for an answer.

    An answer with a backend server's own response, whether a success or a failure, is written as
    that response. A merged answer is written as the concatenation of its records.
    """
    answer = command.answer
    attachments = command.evidence
    if attachments is not None and attachments.response is not None:
        return attachments.response
    if answer.outcome in (data.Outcome.ANSWERED, data.Outcome.PARTIAL):
        headers = (
            exchange.Header(wire_names.PROOFS_HEADER, ", ".join(attachments.proofs)),
            exchange.Header(wire_names.MISSING_SHARDS_HEADER, str(attachments.missing)),
            exchange.Header("Content-Type", "application/octet-stream"),
        )
        return exchange.Response(STATUS_OK, headers, b"".join(attachments.records))
    status = _failure_status(answer)
    headers = (exchange.Header("Content-Type", "text/plain"),)
    if answer.outcome is data.Outcome.NOT_RUN and status == STATUS_UNAVAILABLE:
        seconds = retry_after.delay_seconds(
            answer.reason,
            answer.request_id or command.query_id,
            answer.wait_ms / MS_PER_SECOND,
        )
        headers = (*headers, exchange.Header("Retry-After", f"{seconds:.3f}"))
    reason = answer.reason.value if answer.reason else ""
    return exchange.Response(status, headers, f"{reason}\n".encode())


def make_refusal(
    local_node: node.Node, reason: data.Refusal, headers: httputil.HTTPHeaders
) -> exchange.Response:
    """Counts the refusal of a request that was not read whole, and returns its response."""
    answer = data.Answer(
        headers.get(wire_names.REQUEST_ID_HEADER, ""), data.Outcome.NOT_RUN, reason
    )
    local_node.pending_queries.record_refusal(answer)
    return make_response(events.Respond(local_node.pending_queries.next_id(), answer))


def _failure_status(answer: data.Answer) -> int:
    """Returns the HTTP status of an answer without results."""
    if answer.reason is data.Refusal.UNKNOWN_ROUTE:
        return STATUS_NOT_FOUND
    if answer.reason is data.Refusal.BAD_REQUEST:
        return STATUS_BAD_REQUEST
    if answer.reason is data.Refusal.BODY_TOO_LARGE:
        return STATUS_BODY_TOO_LARGE
    if answer.outcome is data.Outcome.NOT_RUN:
        return STATUS_UNAVAILABLE
    return STATUS_TIMEOUT if answer.reason is data.Refusal.TIMEOUT else STATUS_BAD_GATEWAY


def parse_deadline_ms(headers: httputil.HTTPHeaders) -> int:
    """Returns the caller's deadline in milliseconds from now; 0 without a valid header."""
    text = headers.get(wire_names.DEADLINE_HEADER, "")
    return int(text) if _DEADLINE_PATTERN.fullmatch(text) else 0
