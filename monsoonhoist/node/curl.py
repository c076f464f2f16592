"""HTTP client for many short calls: the curl multi interface on the event loop.

Each call has a timeout. Non-repeatable calls use a new connection, since the server may close one
that is kept just when a request is sent on it, and it is then unknown whether the request has run.
"""

import asyncio
import collections
import datetime
import enum
import io
import logging
import re
from collections.abc import Callable

import msgspec
import pycurl

from monsoonhoist.core import exchange
from monsoonhoist.node import curl_events, held_transfers, request_target, single_sending

MS_PER_SECOND = 1000
# Most handles of finished calls that are kept for reuse.
IDLE_HANDLES_MAX = 256
# A call whose response has a longer body is ended.
RESPONSE_BYTES_MAX = 8_388_608
# A call whose response has a longer head, more lines in it, or both with interim heads and trailer
# fields, is ended.
HEAD_BYTES_MAX = 131_072
HEAD_LINES_MAX = 1_000
# Memory that a header field takes beyond its bytes.
HEADER_OVERHEAD_BYTES = 200
# Default of the most bytes that all responses in progress may hold together.
RESPONSES_BYTES_MAX = 67_108_864
# Bytes that a response must hold before it is counted with the others in progress, so that short
# responses, which are most, are not.
COUNTED_BYTES_MIN = 4_096
# Most connections that curl keeps for reuse, to all servers together, if descriptors allow.
IDLE_CONNECTIONS_MAX = 4096
# Encoding of request lines and header fields, which keeps all bytes.
HEADER_ENCODING = "latin-1"
# Name of a header field, and the bytes that its value must not have (RFC 9110, section 5).
_FIELD_NAME_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_BYTE_PATTERN = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

_log = logging.getLogger(__name__)


class Defect(enum.Enum):
    """Why a response was not accepted, although the connection worked.

    Attributes:
        FOREIGN: It belongs to another request, according to ``HttpCall.expected_header``.
        MALFORMED: Its head has a line that is no header field.
        TOO_LONG: It is longer than one response may be, or it or the body of its request is the
            longest while all in progress together are too long.
    """

    FOREIGN = "foreign"
    MALFORMED = "malformed"
    TOO_LONG = "too long"


class HttpCall(msgspec.Struct, frozen=True):
    """An HTTP request with its timeouts.

    Attributes:
        method: HTTP method.
        url: URL of the request.
        body: Request body; sent only if it is not empty, or with POST.
        timeout: Maximum duration of the whole call.
        connect_timeout: Maximum time to establish a connection.
        own_connection: Whether to open a new connection and to close it afterwards.
        headers: Header lines; a line that ends with a colon removes a default header of curl.
        expected_header: Header that the response must not contradict: if the response has it with
            another value, the call ends and its connection is closed.
        is_counted: Whether the response counts with the others in progress, the longest of which is
            ended if all together are too long.
        is_sent_once: Whether curl must not send the request again by itself.
        target: Path and query string, sent unchanged in place of those of the URL; empty for those.
    """

    method: str
    url: str
    body: bytes
    timeout: datetime.timedelta
    connect_timeout: datetime.timedelta
    own_connection: bool = False
    headers: tuple[str, ...] = ()
    expected_header: exchange.Header | None = None
    is_counted: bool = True
    is_sent_once: bool = False
    target: str = ""


class HttpReply(msgspec.Struct, frozen=True):
    """Result of a call.

    Attributes:
        status: HTTP status; 0 if no complete response was received.
        body: Response body.
        sent: Whether any byte of the request may have been sent.
        timed_out: Whether the call ended at its timeout.
        error: Error message of curl; empty if there is a response.
        headers: Header fields of the response.
        defect: Why the response was not accepted; None if it was, or if there is none.
    """

    status: int
    body: bytes
    sent: bool
    timed_out: bool
    error: str
    headers: tuple[exchange.Header, ...] = ()
    defect: Defect | None = None


class Transfer:
    """A call in progress, with the part of the response received so far.

    Args:
        handle: The handle of curl that runs the call.
        on_done: Called once with the result.
        call: The call.
        hold: Called with this transfer and the number of bytes that it holds in addition.
        send_guard: Keeps curl from sending the request again; None if curl may do so.
    """

    def __init__(
        self,
        handle: pycurl.Curl,
        on_done: Callable[[HttpReply], None],
        call: HttpCall,
        hold: Callable[["Transfer", int], None],
        send_guard: single_sending.SendGuard | None = None,
    ):
        self.handle = handle
        self.on_done = on_done
        self.body = io.BytesIO()
        self.headers: list[exchange.Header] = []
        self.defect: Defect | None = None
        self.is_head_complete = False
        self.send_guard = send_guard
        self._expected_header = call.expected_header
        self._expected_name = call.expected_header.name.lower() if call.expected_header else ""
        self._is_counted = call.is_counted
        self._hold = hold
        self._head_bytes = 0
        self._head_lines = 0
        self._uncounted_bytes = 0

    @property
    def received_bytes(self) -> int:
        """Bytes of the response that have arrived."""
        return self._head_bytes + self.body.tell()

    def awaits_response(self) -> bool:
        """Returns whether the request, which must be sent once, is sent and has no response yet."""
        return self.send_guard is not None and self.send_guard.is_sent and not self._head_lines

    def handle_header(self, line: bytes) -> int | None:
        """Records a header line; returns -1 to make curl end the call and close its connection."""
        if self.defect is None:
            self.defect = self._find_excess(line) or self._handle_line(line)
        return None if self.defect is None else -1

    def _find_excess(self, line: bytes) -> Defect | None:
        """Counts a line of any head or trailer; returns a defect if there are too many."""
        self._head_lines += 1
        self._head_bytes += len(line)
        self._count(len(line) + HEADER_OVERHEAD_BYTES)
        if self._head_lines > HEAD_LINES_MAX or self._head_bytes > HEAD_BYTES_MAX:
            return Defect.TOO_LONG
        return self.defect

    def _handle_line(self, line: bytes) -> Defect | None:
        # A status line begins a response; the headers of an interim one are discarded.
        if line.startswith(b"HTTP/"):
            self.headers.clear()
            self.is_head_complete = False
            return None
        # What follows the head are trailer fields, which may be discarded (RFC 9110, 6.5.1).
        if self.is_head_complete:
            return None
        field = line.rstrip(b"\r\n")
        if not field:
            self.is_head_complete = True
            return None
        return self._record_field(field)

    def _record_field(self, field: bytes) -> Defect | None:
        """Records a header field; returns what is wrong with it."""
        name_bytes, colon, value_bytes = field.partition(b":")
        if not colon or not _FIELD_NAME_PATTERN.fullmatch(name_bytes):
            return Defect.MALFORMED
        if _CONTROL_BYTE_PATTERN.search(value_bytes):
            return Defect.MALFORMED
        name = name_bytes.decode(HEADER_ENCODING)
        value = value_bytes.strip(b" \t").decode(HEADER_ENCODING)
        self.headers.append(exchange.Header(name, value))
        if name.lower() == self._expected_name and value != self._expected_header.value:
            return Defect.FOREIGN
        return None

    def write_body(self, chunk: bytes) -> int:
        """Records a chunk of the body; returns fewer bytes than given to make curl end the call."""
        if self.body.tell() + len(chunk) > RESPONSE_BYTES_MAX:
            self.discard()
        if self.defect is not None:
            return 0
        self.body.write(chunk)
        self._count(len(chunk))
        return len(chunk) if self.defect is None else 0

    def _count(self, byte_count: int) -> None:
        """Counts bytes that this response holds; it is discarded if it is the one to be ended."""
        self._uncounted_bytes += byte_count
        if self._uncounted_bytes >= COUNTED_BYTES_MIN and self._is_counted:
            count, self._uncounted_bytes = self._uncounted_bytes, 0
            self._hold(self, count)

    def discard(self) -> None:
        """Drops what was received of a response that is too long."""
        self.defect = Defect.TOO_LONG
        self.body = io.BytesIO()
        self.headers.clear()


class CurlDriver:
    """Runs calls on one curl multi handle.

    Args:
        idle_timeout: Idle time after which a connection is not reused.
        responses_bytes_max: Most bytes that the responses in progress, and the bodies of calls,
            may hold together. If there are more, the calls with the longest are ended.
        idle_connections_max: Most connections that are kept for reuse.

    Attributes:
        on_ended_connection: Called when a kept connection had ended before it was reused.
    """

    def __init__(
        self,
        idle_timeout: datetime.timedelta,
        responses_bytes_max: int = RESPONSES_BYTES_MAX,
        idle_connections_max: int = IDLE_CONNECTIONS_MAX,
    ):
        self._held: held_transfers.HeldTransfers[Transfer] = held_transfers.HeldTransfers(
            responses_bytes_max, self._end_discarded
        )
        self._idle_seconds = max(1, round(idle_timeout.total_seconds()))
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self.on_ended_connection: Callable[[], None] = lambda: None
        self._connections = single_sending.KeptConnections()
        self._events = curl_events.EventWatcher(self._loop, self._run_socket_action)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._events.watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._events.set_timer)
        kept_max = min(idle_connections_max, IDLE_CONNECTIONS_MAX)
        self._multi.setopt(pycurl.M_MAXCONNECTS, kept_max)
        self._transfer_by_handle: dict[pycurl.Curl, Transfer] = {}
        self._idle_handles: collections.deque[pycurl.Curl] = collections.deque()

    def start(self, call: HttpCall, on_done: Callable[[HttpReply], None]) -> Transfer:
        """Starts a call; ``on_done`` is called once with its result."""
        handle = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        guard = single_sending.SendGuard(self._connections) if call.is_sent_once else None
        transfer = Transfer(handle, on_done, call, self._held.add, guard)
        self._set_options(handle, call, transfer)
        self._transfer_by_handle[handle] = transfer
        self._multi.add_handle(handle)
        self._held.add_body(transfer, call.body)
        return transfer

    def abort(self, transfer: Transfer) -> None:
        """Ends a call and closes its connection without calling ``on_done``."""
        if self._transfer_by_handle.get(transfer.handle) is not transfer:
            return
        del self._transfer_by_handle[transfer.handle]
        self._held.release(transfer)
        self._release(transfer.handle)

    def _end_discarded(self, transfer: Transfer) -> None:
        if self._transfer_by_handle.get(transfer.handle) is transfer:
            self._finish(transfer, pycurl.E_WRITE_ERROR, "the calls in progress hold too much")

    def close(self) -> None:
        """Ends all calls without calling ``on_done`` and closes all connections."""
        for handle in list(self._transfer_by_handle):
            self._multi.remove_handle(handle)
            handle.close()
        self._transfer_by_handle.clear()
        self._events.close()
        self._multi.close()

    def _set_options(self, handle: pycurl.Curl, call: HttpCall, transfer: Transfer) -> None:
        handle.setopt(pycurl.URL, call.url.encode(HEADER_ENCODING))
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.WRITEFUNCTION, transfer.write_body)
        handle.setopt(pycurl.TIMEOUT_MS, _to_milliseconds(call.timeout))
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, _to_milliseconds(call.connect_timeout))
        handle.setopt(pycurl.MAXAGE_CONN, self._idle_seconds)
        if call.own_connection:
            handle.setopt(pycurl.FRESH_CONNECT, 1)
            handle.setopt(pycurl.FORBID_REUSE, 1)
        handle.setopt(pycurl.HEADERFUNCTION, transfer.handle_header)
        if call.target:
            handle.setopt(pycurl.REQUEST_TARGET, request_target.encode(call.target))
        else:
            handle.setopt(pycurl.PATH_AS_IS, 1)
        if transfer.send_guard is not None:
            transfer.send_guard.set_options(handle)
        if call.method == "POST" or call.body:
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDS, call.body)
        if call.method not in ("GET", "POST") or (call.method == "GET" and call.body):
            handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        if call.method == "HEAD":
            handle.setopt(pycurl.NOBODY, 1)
        if call.headers:
            lines = [line.encode(HEADER_ENCODING) for line in call.headers]
            handle.setopt(pycurl.HTTPHEADER, lines)

    def _run_socket_action(self, descriptor: int, event_mask: int) -> None:
        """Lets curl process a socket or its timer, then reports the calls that are finished."""
        if event_mask == pycurl.CSELECT_IN and single_sending.has_ended(descriptor):
            self._end_unanswered(descriptor)
        self._multi.socket_action(descriptor, event_mask)
        while True:
            queued, succeeded, failed = self._multi.info_read()
            # All transfers are looked up first, since the callback of one may abort another.
            finished = [(self._transfer_by_handle[handle], 0, "") for handle in succeeded]
            finished += [
                (self._transfer_by_handle[handle], code, text) for handle, code, text in failed
            ]
            for transfer, code, message in finished:
                if self._transfer_by_handle.get(transfer.handle) is transfer:
                    self._finish(transfer, code, message)
            if not queued:
                return

    def _end_unanswered(self, descriptor: int) -> None:
        """Ends the call on a connection that ended before its response.

        Otherwise curl chooses an idle connection to resend, is refused, and closes that one too.
        """
        for handle, transfer in self._transfer_by_handle.items():
            if transfer.awaits_response() and handle.getinfo(pycurl.ACTIVESOCKET) == descriptor:
                self._finish(transfer, pycurl.E_RECV_ERROR, "the connection ended unanswered")
                return

    def _finish(self, transfer: Transfer, code: int, message: str) -> None:
        handle = transfer.handle
        if transfer.send_guard is not None and transfer.send_guard.take_restart():
            self.on_ended_connection()
            self._multi.remove_handle(handle)
            self._multi.add_handle(handle)
            return
        del self._transfer_by_handle[handle]
        self._held.release(transfer)
        # curl reports success if the server closes the connection within the head.
        is_complete = not code and transfer.is_head_complete and transfer.defect is None
        reply = HttpReply(
            status=handle.getinfo(pycurl.RESPONSE_CODE) if is_complete else 0,
            body=transfer.body.getvalue() if is_complete else b"",
            sent=handle.getinfo(pycurl.REQUEST_SIZE) > 0,
            timed_out=code == pycurl.E_OPERATION_TIMEDOUT,
            error="" if is_complete else message or _describe_end(transfer),
            headers=tuple(transfer.headers),
            defect=transfer.defect,
        )
        self._release(handle)
        try:
            transfer.on_done(reply)
        except Exception:
            # The other calls that ended at the same time must still be reported.
            _log.exception("end of a call not handled")

    def _release(self, handle: pycurl.Curl) -> None:
        """Removes a handle from the multi handle and keeps it for reuse if there is room."""
        self._multi.remove_handle(handle)
        if len(self._idle_handles) < IDLE_HANDLES_MAX:
            handle.reset()
            self._idle_handles.append(handle)
        else:
            handle.close()


def _describe_end(transfer: Transfer) -> str:
    """Returns why a call that curl reports as successful has no complete response."""
    if transfer.defect is not None:
        return f"the response is {transfer.defect.value}"
    return "the head of the response is incomplete"


def _to_milliseconds(duration: datetime.timedelta) -> int:
    """Returns whole milliseconds, at least 1, since curl interprets 0 as no limit."""
    return max(1, int(duration.total_seconds() * MS_PER_SECOND))
