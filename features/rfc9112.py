"""What RFC 9112 says of the bytes of a connection that should hold one response to one request.

The grammar is that of the RFC, written as one regular expression for a whole head. It shares
nothing with the program.
"""

import dataclasses
import re

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# Visible characters and bytes above 127, which may stand in a value (RFC 9110, section 5.5).
VISIBLE = rb"[\x21-\x7e\x80-\xff]"
# A line folding that a recipient may replace with a blank (section 5.2), also one that begins with
# a line feed alone (section 2.2). libcurl does so before the program sees the line.
FOLD = rb"[ \t]*\r?\n[ \t]+"
VALUE = rb"(?:" + VISIBLE + rb"(?:(?:[ \t]|" + FOLD + rb")*" + VISIBLE + rb")*)?"
FIELD_LINE = TOKEN + rb":(?:[ \t]|" + FOLD + rb")*" + VALUE + rb"(?:[ \t]|" + FOLD + rb")*\r\n"
STATUS_LINE = rb"HTTP/1\.(?P<minor>[0-9]) (?P<status>[1-5][0-9]{2}) [\t\x20-\x7e\x80-\xff]*\r\n"
HEAD = re.compile(STATUS_LINE + rb"(?P<fields>(?:" + FIELD_LINE + rb")*)\r\n")
FIELD = re.compile(rb"(?P<name>" + TOKEN + rb"):(?P<value>(?:[^\r\n]|\r?\n[ \t])*)\r\n")
QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'
EXTENSION = (
    rb"(?:[ \t]*;[ \t]*" + TOKEN + rb"(?:[ \t]*=[ \t]*(?:" + TOKEN + rb"|" + QUOTED + rb"))?)*"
)
CHUNK_SIZE = re.compile(rb"(?P<size>[0-9A-Fa-f]+)" + EXTENSION + rb"\r\n")
TRAILER = re.compile(rb"(?:" + FIELD_LINE + rb")*\r\n")

SWITCHING_PROTOCOLS = 101
BODILESS_STATUSES = (204, 304)


@dataclasses.dataclass(frozen=True)
class Message:
    """A response.

    Attributes:
        status: The status.
        minor_version: The minor version of HTTP/1.
        values_by_name: The values of each field, by its name in lower case.
        body: The body, without its chunks.
    """

    status: int
    minor_version: int
    values_by_name: dict[bytes, list[bytes]]
    body: bytes


def read(stream: bytes, method: str = "GET") -> Message | None:
    """Returns the one response that a closed connection held, or None if it held anything else."""
    while head := HEAD.match(stream):
        status = int(head["status"])
        stream = stream[head.end() :]
        if status == SWITCHING_PROTOCOLS:
            return None
        if status >= 200:
            values_by_name = _read_fields(head["fields"])
            is_bodiless = method == "HEAD" or status in BODILESS_STATUSES
            body = _read_body(stream, values_by_name, head["minor"] != b"0", is_bodiless)
            if body is None:
                return None
            return Message(status, int(head["minor"]), values_by_name, body)
    return None


def _read_fields(lines: bytes) -> dict[bytes, list[bytes]]:
    values_by_name: dict[bytes, list[bytes]] = {}
    for field in FIELD.finditer(lines):
        value = re.sub(FOLD, b" ", field["value"]).strip(b" \t")
        values_by_name.setdefault(field["name"].lower(), []).append(value)
    return values_by_name


def _read_body(
    stream: bytes, values_by_name: dict[bytes, list[bytes]], has_chunks: bool, is_bodiless: bool
) -> bytes | None:
    """Returns the body (section 6.3), or None if the bytes are not exactly one."""
    codings = values_by_name.get(b"transfer-encoding")
    lengths = values_by_name.get(b"content-length")
    if lengths is not None:
        parts = {part.strip(b" \t") for part in b",".join(lengths).split(b",")}
        if len(parts) != 1 or not re.fullmatch(rb"[0-9]+", *parts):
            return None
    if codings is not None and (not has_chunks or lengths or len(codings) != 1):
        return None
    if codings is not None and codings[0].lower() != b"chunked":
        return None
    if is_bodiless:
        return None if stream else b""
    if codings is not None:
        return _read_chunks(stream)
    if lengths is not None:
        return stream if len(stream) == int(parts.pop()) else None
    return stream


def _read_chunks(stream: bytes) -> bytes | None:
    """Returns the content of the chunks (section 7.1), or None if they are not valid."""
    content = b""
    while line := CHUNK_SIZE.match(stream):
        size = int(line["size"], 16)
        stream = stream[line.end() :]
        if size == 0:
            return content if TRAILER.fullmatch(stream) else None
        if stream[size : size + 2] != b"\r\n":
            return None
        content += stream[:size]
        stream = stream[size + 2 :]
    return None
