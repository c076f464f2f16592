"""HTTP protocol for calls to the platform's backend servers."""

import datetime
import re
from collections.abc import Mapping

from monsoonhoist.core import data, exchange
from monsoonhoist.node import backends, http_call
from monsoonhoist.platform import wire_names
from monsoonhoist.protocol import events

MS_PER_SECOND = 1000
EMPTY_KEY_RANGE = data.KeyRange(0, 0)
STATUS_MISDIRECTED = 421
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
# Numbers of the load: running requests, waiting requests, slots and, from some servers, the pace.
LOAD_FIELDS_MIN = 3
LOAD_FIELDS_MAX = 4
_COUNT_PATTERN = re.compile(r"[0-9]{1,9}")
# Proofs are listed with commas between them, so that a comma in one would make it two.
_PROOF_PATTERN = re.compile(r"[!-+\--~]+")
# Headers that curl adds by default. They are suppressed unless the caller sent them.
CURL_DEFAULT_HEADERS = ("Accept", "User-Agent", "Content-Type", "Expect")
CONTENT_ENCODING = "content-encoding"
CONTENT_LENGTH = "content-length"
METHOD_HEAD = "HEAD"
# Header fields of a response that are not forwarded to the caller, in lower case.
UNFORWARDED_HEADERS = wire_names.CONNECTION_HEADERS | {CONTENT_LENGTH, "expect"}


class ServerProtocol(backends.Protocol):
    """Forwards the caller's request with the remaining time and the server's id.

    A call ends as malformed if its response carries the id of another request or is no response
    that could be forwarded.

    Args:
        connect_timeout: Maximum time to establish a connection.
    """

    def __init__(self, connect_timeout: datetime.timedelta):
        self._connect_timeout = connect_timeout

    def make_call(
        self, command: events.StartCall, call_name: str, remaining_seconds: float
    ) -> http_call.HttpCall:
        """Returns the HTTP call that forwards the request of a command."""
        request = command.query.content
        remaining_ms = max(1, int(remaining_seconds * MS_PER_SECOND))
        caller_headers = {header.name.lower() for header in request.headers}
        lines = [_format_header(header) for header in request.headers]
        lines += [f"{name}:" for name in CURL_DEFAULT_HEADERS if name.lower() not in caller_headers]
        lines.append(f"{wire_names.DEADLINE_HEADER}: {remaining_ms}")
        lines.append(f"{wire_names.SERVER_ID_HEADER}: {command.server.server_id}")
        return http_call.HttpCall(
            method=request.method,
            url=f"http://{command.server.address}",
            body=request.body,
            timeout=datetime.timedelta(seconds=remaining_seconds),
            connect_timeout=min(
                self._connect_timeout, datetime.timedelta(seconds=remaining_seconds)
            ),
            own_connection=not command.query.repeatable,
            headers=tuple(lines),
            expected_header=_find_header(request.headers, wire_names.REQUEST_ID_HEADER),
            is_sent_once=True,
            target=request.target,
        )

    def make_cancellation(self, command: events.StartCall, call_name: str) -> None:
        """Returns None: a server drops a request when the connection is closed."""
        return None

    def make_health_check(self, server: data.Server) -> http_call.HttpCall | None:
        """Returns a health check; None if the server's service has no health check path."""
        if not server.health_path:
            return None
        return http_call.HttpCall(
            method="GET",
            url=f"http://{server.address}{server.health_path}",
            body=b"",
            timeout=self._connect_timeout,
            connect_timeout=self._connect_timeout,
            headers=tuple(f"{name}:" for name in CURL_DEFAULT_HEADERS),
            is_sent_once=True,
        )

    def read_report(self, reply: http_call.HttpReply) -> exchange.ServerReport:
        """Returns what a server says about itself in the headers of a response."""
        return _make_report(reply.status, _values_by_name(reply.headers))

    def read_reply(
        self, command: events.StartCall, reply: http_call.HttpReply
    ) -> events.CallReplied | events.CallFailed:
        """Converts the end of a call to an event.

        A response without a valid proof, or with an encoded body, counts as malformed. An error
        status is a failure if the response would be merged or the server itself failed; otherwise
        the response is forwarded to the caller.
        """
        value_by_name = _values_by_name(reply.headers)
        report = _make_report(reply.status, value_by_name)
        if not reply.status:
            return _make_transport_failure(command.call_id, reply, report)
        if wire_names.NOT_RUN_HEADER.lower() in value_by_name or reply.status == STATUS_MISDIRECTED:
            return _make_refusal(command.call_id, reply, report)
        proof = value_by_name.get(wire_names.PROOF_HEADER.lower(), "")
        if not _PROOF_PATTERN.fullmatch(proof) or CONTENT_ENCODING in value_by_name:
            reason = data.Refusal.MALFORMED_REPLY
            return events.CallFailed(command.call_id, reason, True, report=report)
        is_forwarded = command.query.passes_response
        if reply.status // 100 != 2 and (not is_forwarded or reply.status >= STATUS_SERVER_ERROR):
            reason = data.Refusal.BACKEND_ERROR
            return events.CallFailed(
                command.call_id,
                reason,
                True,
                response=_make_response(command, reply),
                report=report,
            )
        return events.CallReplied(
            call_id=command.call_id,
            snapshot=command.snapshot,
            keys=EMPTY_KEY_RANGE,
            holdings=(),
            results=() if is_forwarded else _split_records(reply.body),
            draining=False,
            proof=proof,
            response=_make_response(command, reply) if is_forwarded else None,
            report=report,
        )


def _make_transport_failure(
    call_id: int, reply: http_call.HttpReply, report: exchange.ServerReport
) -> events.CallFailed:
    """Returns the failure of a call without a complete response.

    The headers that did arrive are believed, unless the response was not accepted.
    """
    if reply.defect is not None:
        return events.CallFailed(call_id, data.Refusal.MALFORMED_REPLY, True)
    if not reply.sent:
        reason = data.Refusal.TIMEOUT if reply.timed_out else data.Refusal.CONNECT_FAILED
        return events.CallFailed(call_id, reason, False)
    reason = data.Refusal.TIMEOUT if reply.timed_out else data.Refusal.CONNECTION_LOST
    return events.CallFailed(call_id, reason, True, report=report)


def _make_refusal(
    call_id: int, reply: http_call.HttpReply, report: exchange.ServerReport
) -> events.CallFailed:
    """Returns the failure of a call whose response proves that nothing was run."""
    if reply.status == STATUS_MISDIRECTED:
        # Another server has the address now, and the headers describe that one.
        return events.CallFailed(call_id, data.Refusal.WRONG_SERVER, False)
    return events.CallFailed(call_id, data.Refusal.SHED, False, report=report)


def _values_by_name(headers: tuple[exchange.Header, ...]) -> dict[str, str]:
    """Returns the values of header fields by their names in lower case, the first of each name."""
    return {header.name.lower(): header.value for header in reversed(headers)}


def _make_report(status: int, value_by_name: Mapping[str, str]) -> exchange.ServerReport:
    """Returns what a server says about itself in a response.

    Args:
        status: HTTP status of the response.
        value_by_name: Values of its header fields by their names in lower case.
    """
    is_leaving = value_by_name.get(wire_names.LEAVING_HEADER.lower()) == wire_names.LEAVING_VALUE
    wait_text = value_by_name.get(wire_names.WAIT_HEADER.lower(), "")
    return exchange.ServerReport(
        is_leaving=is_leaving,
        wait_seconds=_parse_wait_seconds(wait_text) if status == STATUS_UNAVAILABLE else 0.0,
        load=_parse_load(value_by_name.get(wire_names.LOAD_HEADER.lower(), "")),
        cold_ms=_parse_count(value_by_name.get(wire_names.COLD_HEADER.lower(), "")),
    )


def _make_response(command: events.StartCall, reply: http_call.HttpReply) -> exchange.Response:
    """Returns a response to forward, without the header fields of the connection.

    The length in a response to HEAD is not that of the body, so that it is forwarded.
    """
    is_head = command.query.content.method == METHOD_HEAD
    unforwarded = UNFORWARDED_HEADERS - {CONTENT_LENGTH} if is_head else UNFORWARDED_HEADERS
    headers = tuple(header for header in reply.headers if header.name.lower() not in unforwarded)
    return exchange.Response(reply.status, headers, reply.body)


def _parse_load(text: str) -> exchange.Load | None:
    """Returns the load that a server reports, or None if the text is not valid.

    It has three numbers or more; those after the fourth are ignored.
    """
    if not text:
        return None
    numbers = [field.strip() for field in text.split(",")[:LOAD_FIELDS_MAX]]
    if len(numbers) < LOAD_FIELDS_MIN or not all(map(_COUNT_PATTERN.fullmatch, numbers)):
        return None
    return exchange.Load(*(int(number) for number in numbers))


def _parse_count(text: str) -> int | None:
    """Returns a whole number, or None if the text is none."""
    return int(text) if _COUNT_PATTERN.fullmatch(text) else None


def _parse_wait_seconds(text: str) -> float:
    """Returns how long a server that is full wants nothing; 0 if the text is no positive number."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if seconds > 0.0 else 0.0


def _split_records(body: bytes) -> tuple[bytes, ...]:
    """Returns the complete records of a shard's response; a shorter remainder is ignored."""
    size = wire_names.RECORD_BYTES
    return tuple(body[start : start + size] for start in range(0, len(body) - size + 1, size))


def _find_header(headers: tuple[exchange.Header, ...], name: str) -> exchange.Header | None:
    lower_name = name.lower()
    return next((header for header in headers if header.name.lower() == lower_name), None)


def _format_header(header: exchange.Header) -> str:
    """Returns a header line for curl, which needs a semicolon in place of an empty value."""
    return f"{header.name}: {header.value}" if header.value else f"{header.name};"
