"""A call in progress: curl's callbacks for the bytes of its response."""

import io
import re
from collections.abc import Callable

import pycurl

from monsoonhoist.core import defects, exchange
from monsoonhoist.node import http_call, single_sending

# A call whose response has a longer body is ended.
RESPONSE_BYTES_MAX = 8_388_608
# A call whose response has a longer head, more lines in it, or both with interim heads and trailer
# fields, is ended.
HEAD_BYTES_MAX = 131_072
HEAD_LINES_MAX = 1_000
# Memory that a header field takes beyond its bytes.
HEADER_OVERHEAD_BYTES = 200
# Bytes that a response must hold before it is counted with the others in progress, so that short
# responses, which are most, are not.
COUNTED_BYTES_MIN = 4_096
# Encoding of header fields, which keeps all bytes.
HEADER_ENCODING = "latin-1"
# Name of a header field, and the bytes that its value must not have (RFC 9110, section 5).
_FIELD_NAME_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_BYTE_PATTERN = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


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
        on_done: Callable[[http_call.HttpReply], None],
        call: http_call.HttpCall,
        hold: Callable[["Transfer", int], None],
        send_guard: single_sending.SendGuard | None = None,
    ):
        self.handle = handle
        self.on_done = on_done
        self.body = io.BytesIO()
        self.headers: list[exchange.Header] = []
        self.defect: defects.Defect | None = None
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

    def _find_excess(self, line: bytes) -> defects.Defect | None:
        """Counts a line of any head or trailer; returns a defect if there are too many."""
        self._head_lines += 1
        self._head_bytes += len(line)
        self._count(len(line) + HEADER_OVERHEAD_BYTES)
        if self._head_lines > HEAD_LINES_MAX or self._head_bytes > HEAD_BYTES_MAX:
            return defects.Defect.TOO_LONG
        return self.defect

    def _handle_line(self, line: bytes) -> defects.Defect | None:
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

    def _record_field(self, field: bytes) -> defects.Defect | None:
        """Records a header field; returns what is wrong with it."""
        name_bytes, colon, value_bytes = field.partition(b":")
        if not colon or not _FIELD_NAME_PATTERN.fullmatch(name_bytes):
            return defects.Defect.MALFORMED
        if _CONTROL_BYTE_PATTERN.search(value_bytes):
            return defects.Defect.MALFORMED
        name = name_bytes.decode(HEADER_ENCODING)
        value = value_bytes.strip(b" \t").decode(HEADER_ENCODING)
        self.headers.append(exchange.Header(name, value))
        if name.lower() == self._expected_name and value != self._expected_header.value:
            return defects.Defect.FOREIGN
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
        self.defect = defects.Defect.TOO_LONG
        self.body = io.BytesIO()
        self.headers.clear()
