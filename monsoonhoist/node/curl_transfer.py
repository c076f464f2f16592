"""A call in progress: curl's callbacks for the bytes of its response."""

import io
from collections.abc import Callable

import pycurl

from monsoonhoist.core import defects
from monsoonhoist.node import http_call, response_reader, single_sending

# A call whose response has a longer body is ended.
RESPONSE_BYTES_MAX = 8_388_608
# A call whose response has a longer head, or more lines in it, both with interim heads, is ended.
HEAD_BYTES_MAX = 131_072
HEAD_LINES_MAX = 1_000
# Memory that a header field takes beyond its bytes.
HEADER_OVERHEAD_BYTES = 200
# Bytes that a response must hold before it is counted with the others in progress, so that short
# responses, which are most, are not.
COUNTED_BYTES_MIN = 4_096
# Kinds of the bytes that curl passes to its debug callback.
_HEADER_IN = pycurl.INFOTYPE_HEADER_IN
_DATA_IN = pycurl.INFOTYPE_DATA_IN
# curl ends a head at a line that begins with one of these bytes.
_HEAD_END_BYTES = b"\r\n"
# Errors of curl for heads that it cannot read.
_UNREADABLE_CODES = (
    pycurl.E_UNSUPPORTED_PROTOCOL,
    pycurl.E_FTP_WEIRD_SERVER_REPLY,
    pycurl.E_BAD_CONTENT_ENCODING,
)


class EventCount:
    """Number of events of sockets and timers that curl has processed.

    Attributes:
        value: The number.
    """

    def __init__(self) -> None:
        self.value = 0


class Transfer:
    """A call in progress, with the part of the response received so far.

    Args:
        handle: The handle of curl that runs the call.
        on_done: Called once with the result.
        call: The call.
        hold: Called with this transfer and the number of bytes that it holds in addition.
        end_soon: Called with this transfer if its response is not accepted.
        events: Number of events that curl has processed.
        send_guard: Keeps curl from sending the request again; None if curl may do so.
    """

    def __init__(
        self,
        handle: pycurl.Curl,
        on_done: Callable[[http_call.HttpReply], None],
        call: http_call.HttpCall,
        hold: Callable[["Transfer", int], None],
        end_soon: Callable[["Transfer"], None],
        events: EventCount,
        send_guard: single_sending.SendGuard | None = None,
    ):
        self.handle = handle
        self.on_done = on_done
        self.reader = response_reader.ResponseReader(call.method, call.expected_header)
        self.defect: defects.Defect | None = None
        self.send_guard = send_guard
        self._is_counted = call.is_counted
        self._hold = hold
        self._end_soon = end_soon
        self._events = events
        # The event at which the head was complete.
        self._head_event = 0
        self._head_lines: list[bytes] = []
        self._head_bytes = 0
        self._head_line_count = 0
        self._chunk_count = 0
        self._body = io.BytesIO()
        self._uncounted_bytes = 0

    @property
    def received_bytes(self) -> int:
        """Bytes of the response that have arrived."""
        return self._head_bytes + self._body.tell()

    def awaits_response(self) -> bool:
        """Returns whether the request, which must be sent once, is sent and has no response yet."""
        is_sent = self.send_guard is not None and self.send_guard.is_sent
        return is_sent and not self._head_bytes

    def handle_debug(self, kind: int, chunk: bytes) -> None:
        """Reads a line of a head, or bytes of the connection after it, before curl does.

        Of curl's callbacks, only this one receives the bytes that follow a body.
        """
        if self.defect is not None:
            return
        if kind == _HEADER_IN:
            self._read_line(chunk)
        elif kind == _DATA_IN and chunk:
            self._read_chunk(chunk)
        if self.defect is not None:
            self._end_soon(self)

    def handle_header(self, line: bytes) -> int | None:
        """Returns -1 to make curl end the call at once if its response is not accepted.

        Otherwise curl would go on with an endless head until its connection has no more bytes.
        """
        return None if self.defect is None else -1

    def _read_line(self, line: bytes) -> None:
        self._head_lines.append(line)
        self._head_line_count += 1
        self._head_bytes += len(line)
        self._uncounted_bytes += len(line) + HEADER_OVERHEAD_BYTES
        if self._uncounted_bytes >= COUNTED_BYTES_MIN:
            self._count_held()
        if self._head_bytes > HEAD_BYTES_MAX or self._head_line_count > HEAD_LINES_MAX:
            self.defect = defects.Defect.TOO_LONG
        elif line[0] in _HEAD_END_BYTES:
            lines, self._head_lines = self._head_lines, []
            self._head_event = self._events.value
            self.defect = self.reader.read_head(lines)

    def _read_chunk(self, chunk: bytes) -> None:
        self._chunk_count += 1
        self.defect = self.reader.read_body(chunk)
        if self.defect is None and self.reader.is_body_complete and self._has_unread():
            self.defect = defects.Defect.AFTER_BODY

    def _has_unread(self) -> bool:
        """Returns whether bytes have arrived that curl has not read.

        What arrives with the head is read with it. Only later does curl read no further than the
        body, so that bytes may remain.
        """
        if self._chunk_count == 1 and self._head_event == self._events.value:
            return False
        return self.send_guard is not None and self.send_guard.has_unread()

    def write_body(self, chunk: bytes) -> int:
        """Records a chunk of the body; returns fewer bytes than given to make curl end the call."""
        if self._body.tell() + len(chunk) > RESPONSE_BYTES_MAX:
            self.discard()
        if self.defect is not None:
            return 0
        self._body.write(chunk)
        self._uncounted_bytes += len(chunk)
        if self._uncounted_bytes >= COUNTED_BYTES_MIN:
            self._count_held()
        return len(chunk) if self.defect is None else 0

    def _count_held(self) -> None:
        """Counts bytes that this response holds; it is discarded if it is the one to be ended."""
        count, self._uncounted_bytes = self._uncounted_bytes, 0
        if self._is_counted:
            self._hold(self, count)

    def discard(self) -> None:
        """Drops what was received of a response that is too long."""
        self.defect = defects.Defect.TOO_LONG
        self._body = io.BytesIO()
        self._head_lines.clear()

    def make_reply(self, code: int, message: str) -> http_call.HttpReply:
        """Returns the result of the call when curl has ended it.

        Args:
            code: Error of curl; 0 for none.
            message: Error message of curl; empty for none.
        """
        if self.defect is None and code in _UNREADABLE_CODES:
            self.defect = defects.Defect.UNREADABLE
        # curl reports success if the server closes the connection within the head.
        is_sound = self.reader.is_head_complete and self.defect is None
        is_complete = not code and is_sound
        return http_call.HttpReply(
            status=self.reader.status if is_complete else 0,
            body=self._body.getvalue() if is_complete else b"",
            sent=self.handle.getinfo(pycurl.REQUEST_SIZE) > 0,
            timed_out=code == pycurl.E_OPERATION_TIMEDOUT,
            error="" if is_complete else self._describe_end(message),
            headers=self.reader.headers if is_sound else (),
            defect=self.defect,
        )

    def _describe_end(self, message: str) -> str:
        """Returns why there is no complete response, given the message of curl."""
        if self.defect is not None:
            return f"response not accepted: {self.defect.value}"
        return message or "the head of the response is incomplete"
