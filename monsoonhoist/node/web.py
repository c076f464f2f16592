"""HTTP interface of the native dialect for callers, the load balancer and operators."""

import datetime
import functools
import logging

import msgspec
from tornado import httputil, web

from monsoonhoist import decoding, errors, metrics
from monsoonhoist.core import data, exchange
from monsoonhoist.node import caller_connections, caller_options, http_servers, node, phases, status
from monsoonhoist.overload import retry_after
from monsoonhoist.queries import answer_builder

MS_PER_SECOND = 1000
# Time after which an idle connection is closed; this dialect has no setting for it.
IDLE_TIMEOUT = datetime.timedelta(seconds=60)
STATUS_INTERNAL_ERROR = 500

_log = logging.getLogger(__name__)

_STATUS_BY_OUTCOME = {
    data.Outcome.ANSWERED: 200,
    data.Outcome.PARTIAL: 200,
    data.Outcome.NOT_RUN: 503,
    data.Outcome.FAILED: 502,
    data.Outcome.UNKNOWN: 504,
}
_STATUS_BY_REFUSAL = {
    data.Refusal.BAD_REQUEST: 400,
    data.Refusal.DEADLINE_OUT_OF_RANGE: 400,
    data.Refusal.TICKET_REQUIRED: 400,
    data.Refusal.TICKET_MALFORMED: 400,
    data.Refusal.UNKNOWN_ROUTE: 404,
    data.Refusal.BODY_TOO_LARGE: 413,
    data.Refusal.OVERLOAD: 429,
}


class TicketReply(msgspec.Struct, frozen=True):
    """Body of the reply to a request for a ticket."""

    ticket: data.TicketId


class BaseHandler(web.RequestHandler):
    """Base class of all request handlers."""

    def initialize(self, local_node: node.Node) -> None:
        """Stores the node that serves the requests."""
        self._node = local_node

    def send_json(self, status_code: int, body: object) -> None:
        """Sends a response with a record as its JSON body."""
        self.set_status(status_code)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Sends an error of Tornado, or an uncaught exception, as an answer record."""
        self.send_json(status_code, self.make_error_answer(status_code))

    def make_error_answer(self, status_code: int) -> data.Answer:
        """Returns the answer for an error, of which nothing has run."""
        is_own_error = status_code >= STATUS_INTERNAL_ERROR
        reason = data.Refusal.INTERNAL_ERROR if is_own_error else data.Refusal.BAD_REQUEST
        return answer_builder.make_not_run("", reason, self._reason)


@web.stream_request_body
class CallerHandler(BaseHandler):
    """Base class of the handlers for callers; reads the body, whose size the server limits."""

    def initialize(self, local_node: node.Node) -> None:
        """Creates an empty body buffer."""
        super().initialize(local_node)
        self._body = bytearray()
        self._may_have_run = False

    def data_received(self, chunk: bytes) -> None:
        """Appends a chunk to the body."""
        self._body.extend(chunk)

    def on_connection_close(self) -> None:
        """Drops the body of a request that will not be completed."""
        super().on_connection_close()
        self._body.clear()

    def make_error_answer(self, status_code: int) -> data.Answer:
        """Returns the answer for an error, which is unknown once the request has been started."""
        if not self._may_have_run:
            return super().make_error_answer(status_code)
        detail = "the request may have run; an error of this instance lost its answer"
        return answer_builder.make_unknown("", data.Refusal.INTERNAL_ERROR, detail)

    def refuse(self, request: data.Request, reason: data.Refusal, detail: str) -> None:
        """Sends, counts and logs an answer that says the request did not run."""
        answer = answer_builder.make_not_run(request.request_id, reason, detail)
        self._node.pending_queries.record_refusal(answer)
        self.send_answer(answer)

    def count_and_send(self, rank: data.Rank | None, answer: data.Answer) -> None:
        """Counts an answer and sends it."""
        self._node.pending_queries.count_answer(rank, answer)
        self.send_answer(answer)

    def send_answer(self, answer: data.Answer) -> None:
        """Sends an answer with the HTTP status for its outcome and reason."""
        status_code = find_status(answer)
        if status_code in (429, 503):
            self.set_header("Retry-After", _retry_after(self._node, answer))
        self.send_json(status_code, answer)

    def refuse_if_unavailable(self) -> bool:
        """Refuses the request and returns True if the instance accepts no new requests."""
        if self._node.phase is phases.Phase.CLOSED:
            self.refuse(_NO_REQUEST, data.Refusal.LEAVING, "the instance is leaving")
            return True
        if self._node.phase is phases.Phase.STARTING:
            self.refuse(_NO_REQUEST, data.Refusal.NOT_READY, "the instance is not ready")
            return True
        return False


class QueryHandler(CallerHandler):
    """``POST /v1/query/ROUTE``: runs a query on a route."""

    async def post(self, route_id: str) -> None:
        """Runs a caller's request and sends the answer."""
        if self.refuse_if_unavailable():
            return
        try:
            request = read_request(bytes(self._body), self._node.config.limits.results)
            self._body.clear()
        except errors.RequestError as error:
            self.refuse(_NO_REQUEST, error.refusal, str(error))
            return
        route = self._node.pending_queries.find_route(data.RouteId(route_id))
        if self._node.active >= self._node.config.limits.callers:
            self.refuse(request, data.Refusal.OVERLOAD, "too many requests at this instance")
        elif route is None or route.repeatable:
            self._may_have_run = True
            respond = await self._node.pending_queries.start(
                data.RouteId(route_id),
                msgspec.structs.replace(
                    request.to_caller_request(), caller=self.request.remote_ip or ""
                ),
            )
            self.count_and_send(route.rank if route else None, respond.answer)
        elif not request.ticket:
            detail = f"the route {route_id!r} is not repeatable; ask for a ticket first"
            self.refuse(request, data.Refusal.TICKET_REQUIRED, detail)
        else:
            await self._run_with_ticket(route, request)

    async def _run_with_ticket(self, route: data.Route, request: data.Request) -> None:
        limit_ms = int(route.deadline.total_seconds() * MS_PER_SECOND)
        if not 0 <= request.deadline_ms <= limit_ms:
            detail = f"deadline_ms must be from 0 to {limit_ms}"
            self.refuse(request, data.Refusal.DEADLINE_OUT_OF_RANGE, detail)
            return
        if not self._node.stop_schedule.may_accept(route, request.deadline_ms):
            detail = "the instance is leaving, and less time is left than the request may take"
            self.refuse(request, data.Refusal.LEAVING, detail)
            return
        remaining_ms = request.deadline_ms or limit_ms
        self._may_have_run = True
        answer = await self._node.ticket_runner.run(route.route_id, request, remaining_ms)
        self.count_and_send(route.rank, answer)


class TicketHandler(CallerHandler):
    """``POST /v1/ticket/ROUTE``: issues a ticket for a non-repeatable request."""

    async def post(self, route_id: str) -> None:
        """Issues a ticket and sends it."""
        if self.refuse_if_unavailable():
            return
        route = self._node.pending_queries.find_route(data.RouteId(route_id))
        if route is None:
            detail = f"no route is named {route_id!r}"
            self.refuse(_NO_REQUEST, data.Refusal.UNKNOWN_ROUTE, detail)
            return
        ticket = self._node.ticket_runner.issue(route.route_id)
        if ticket is None:
            self.refuse(_NO_REQUEST, data.Refusal.OVERLOAD, "too many tickets are remembered")
        else:
            self.send_json(200, TicketReply(ticket))


class LiveHandler(BaseHandler):
    """``GET /live``: whether the process is alive."""

    def get(self) -> None:
        """Replies with 200 while the event loop runs."""
        self.finish("live\n")


class ReadyHandler(BaseHandler):
    """``GET /ready``: whether the load balancer should send requests to this instance."""

    def get(self) -> None:
        """Replies with 200 only in the phase ``ready``."""
        if self._node.phase is not phases.Phase.READY:
            self.set_status(503)
        self.finish(f"{self._node.phase.value}\n")


class MetricsHandler(BaseHandler):
    """``GET /metrics``: metrics as Prometheus text."""

    async def get(self) -> None:
        """Replies with all metrics."""
        self.set_header("Content-Type", metrics.CONTENT_TYPE)
        self.finish(await self._node.counters.export())


class StatusHandler(BaseHandler):
    """``GET /v1/status``: state of this instance and its view of the others."""

    def get(self) -> None:
        """Replies with the status record."""
        self.send_json(200, status.make_status(self._node))


def read_request(body: bytes, results_max: int) -> data.Request:
    """Decodes and checks the body of a request.

    Raises:
        RequestError: If the body is malformed or ``limit`` is out of range.
    """
    try:
        request = decoding.decode_json(body, data.Request)
    except errors.MalformedInputError as error:
        raise errors.RequestError(data.Refusal.BAD_REQUEST, f"malformed body: {error}") from error
    if not 1 <= request.limit <= results_max:
        detail = f"limit must be from 1 to {results_max}"
        raise errors.RequestError(data.Refusal.BAD_REQUEST, detail)
    return request


def find_status(answer: data.Answer) -> int:
    """Returns the HTTP status for an answer's outcome and reason."""
    status_code = _STATUS_BY_OUTCOME[answer.outcome]
    if answer.outcome is data.Outcome.NOT_RUN:
        return _STATUS_BY_REFUSAL.get(answer.reason, status_code)
    return status_code


def _retry_after(local_node: node.Node, answer: data.Answer) -> str:
    """Returns the time in seconds after which a refused request may be sent again."""
    key = answer.request_id or local_node.pending_queries.next_id()
    seconds = retry_after.delay_seconds(answer.reason, key, answer.wait_ms / MS_PER_SECOND)
    return str(max(1, round(seconds)))


def make_refusal(
    local_node: node.Node, reason: data.Refusal, headers: httputil.HTTPHeaders
) -> exchange.Response:
    """Counts the refusal of a request that was not read whole, and returns its response."""
    detail = "the requests being read hold too much memory"
    if reason is data.Refusal.BODY_TOO_LARGE:
        detail = f"the body is larger than {local_node.config.limits.body_bytes} bytes"
    answer = answer_builder.make_not_run("", reason, detail)
    local_node.pending_queries.record_refusal(answer)
    status_code = find_status(answer)
    header_list = [exchange.Header("Content-Type", "application/json")]
    if status_code in (429, 503):
        header_list.append(exchange.Header("Retry-After", _retry_after(local_node, answer)))
    return exchange.Response(status_code, tuple(header_list), msgspec.json.encode(answer))


def make_server(local_node: node.Node) -> http_servers.FlushingServer:
    """Returns the HTTP server of a node, not yet listening."""
    arguments = {"local_node": local_node}
    application = web.Application(
        [
            (r"/v1/query/([A-Za-z0-9._-]+)", QueryHandler, arguments),
            (r"/v1/ticket/([A-Za-z0-9._-]+)", TicketHandler, arguments),
            (r"/v1/status", StatusHandler, arguments),
            (r"/live", LiveHandler, arguments),
            (r"/ready", ReadyHandler, arguments),
            (r"/metrics", MetricsHandler, arguments),
        ]
    )
    options = caller_options.make_options(
        local_node, IDLE_TIMEOUT, functools.partial(make_refusal, local_node)
    )
    return http_servers.FlushingServer(
        application,
        callers=caller_connections.make_connections(local_node, options),
        body_timeout=local_node.config.timing.caller_body_ms.total_seconds(),
    )


# Stands for the request in answers that are sent before the request is decoded.
_NO_REQUEST = data.Request(query="")
