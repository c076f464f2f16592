"""Judges a response by the bytes of its connection, beside the HTTP library that transfers it.

The library accepts heads that RFC 9112 does not, and reports success for a response that more bytes
follow. Here nothing is accepted but what the grammar allows, and the verdict is final: whatever
reads responses takes it from here.

The library replaces folded lines before it passes them on, as a recipient may (RFC 9112, section
5.2), so that a fold cannot be noticed here.
"""

from monsoonhoist.core import defects, exchange
from monsoonhoist.node import http_grammar, response_body

CONTENT_LENGTH = "content-length"
TRANSFER_ENCODING = "transfer-encoding"
CHUNKED = "chunked"
METHOD_HEAD = "HEAD"
STATUS_SWITCHING_PROTOCOLS = 101
STATUS_NO_CONTENT = 204
STATUS_NOT_MODIFIED = 304
# Statuses of final responses; those below them are interim (RFC 9110, section 15).
FINAL_STATUS_MIN = 200
INTERIM_STATUS_MIN = 100
STATUS_MAX = 599


class ResponseReader:
    """Reads one response, with the interim ones before it.

    Args:
        method: Method of the request.
        expected_header: Header that the response must not contradict; None for none.

    Attributes:
        status: Status of the response; 0 before it is known.
        headers: Header fields of the response; empty before its head is complete.
        is_head_complete: Whether the head of the response has been read.
    """

    def __init__(self, method: str, expected_header: exchange.Header | None):
        self.status = 0
        self.headers: tuple[exchange.Header, ...] = ()
        self.is_head_complete = False
        self._method = method
        self._lengths: list[str] = []
        self._codings: list[str] = []
        self._expected_value = expected_header.value if expected_header else ""
        self._expected_values: list[str] = []
        self._judged_values_by_name = {
            CONTENT_LENGTH: self._lengths,
            TRANSFER_ENCODING: self._codings,
        }
        if expected_header:
            self._judged_values_by_name[expected_header.name.lower()] = self._expected_values
        self._body: response_body.Body | None = None

    @property
    def is_body_complete(self) -> bool:
        """Whether all bytes of the response have been read, so that no more may follow."""
        return self._body is not None and self._body.is_complete

    def read_body(self, chunk: bytes) -> defects.Defect | None:
        """Reads bytes of the connection after the head; returns what is wrong with them."""
        return self._body.read(chunk) if chunk and self._body is not None else None

    def read_head(self, lines: list[bytes]) -> defects.Defect | None:
        """Reads the lines of a head, with their ends; returns what is wrong with them."""
        match = http_grammar.HEAD.fullmatch(b"".join(lines).decode(http_grammar.ENCODING))
        if match is None:
            return _find_line_defect(lines)
        self.status = int(match[2])
        if not _is_expected(self.status):
            return defects.Defect.STATUS
        if self.status < FINAL_STATUS_MIN:
            return None
        self.is_head_complete = True
        self._record_fields(http_grammar.FIELD.findall(match[3]))
        if any(value != self._expected_value for value in self._expected_values):
            return defects.Defect.FOREIGN
        defect = self._find_framing_defect(has_chunks=match[1] != "0")
        if defect is None:
            self._body = self._make_body()
        return defect

    def _record_fields(self, fields: list[tuple[str, str]]) -> None:
        """Records the header fields, and apart from them those that this reader judges."""
        headers = []
        for name, text in fields:
            value = text.strip(" \t")
            headers.append(exchange.Header(name, value))
            judged_values = self._judged_values_by_name.get(name.lower())
            if judged_values is not None:
                judged_values.append(value)
        self.headers = tuple(headers)

    def _find_framing_defect(self, has_chunks: bool) -> defects.Defect | None:
        """Returns what is wrong with the fields that tell where the body ends (section 6).

        Args:
            has_chunks: Whether the version of the protocol has bodies in chunks.
        """
        lengths = self._lengths
        if self._codings:
            is_chunked = len(self._codings) == 1 and self._codings[0].lower() == CHUNKED
            return None if is_chunked and has_chunks and not lengths else defects.Defect.CODING
        if lengths and not (len(set(lengths)) == 1 and http_grammar.LENGTH.fullmatch(lengths[0])):
            return defects.Defect.LENGTH
        return None

    def _make_body(self) -> response_body.Body:
        """Returns the reader of the body (RFC 9112, section 6.3)."""
        if self._method == METHOD_HEAD or self.status in (STATUS_NO_CONTENT, STATUS_NOT_MODIFIED):
            return response_body.SizedBody(0)
        if self._codings:
            return response_body.ChunkedBody()
        if self._lengths:
            return response_body.SizedBody(int(self._lengths[0]))
        return response_body.UnsizedBody()


def _is_expected(status: int) -> bool:
    """Returns whether a status may be answered; no request asks for a switch of protocols."""
    is_valid = INTERIM_STATUS_MIN <= status <= STATUS_MAX
    return is_valid and status != STATUS_SWITCHING_PROTOCOLS


def _find_line_defect(lines: list[bytes]) -> defects.Defect:
    """Returns what is wrong with the first wrong line of a head."""
    status_line, *field_lines = [line.decode(http_grammar.ENCODING) for line in lines]
    if not http_grammar.STATUS_LINE.fullmatch(status_line):
        has_odd_end = http_grammar.has_odd_end(status_line)
        return defects.Defect.LINE_END if has_odd_end else defects.Defect.STATUS_LINE
    wrong_line = next(
        line
        for line in field_lines
        if line != http_grammar.LINE_END and not http_grammar.FIELD_LINE.fullmatch(line)
    )
    has_odd_end = http_grammar.has_odd_end(wrong_line)
    return defects.Defect.LINE_END if has_odd_end else defects.Defect.FIELD
