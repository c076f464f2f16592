"""Why a response is not accepted."""

import enum


class Defect(enum.Enum):
    """Why a response was not accepted, although the connection worked.

    Attributes:
        FOREIGN: It belongs to another request, according to ``HttpCall.expected_header``.
        TOO_LONG: It is longer than one response may be, or it or the body of its request is the
            longest while all in progress together are too long.
        STATUS_LINE: Its first line is no status line of HTTP/1.
        STATUS: Its status is none of a final response, or that of a switch of protocols.
        LINE_END: A line of its head does not end with CR and LF, or has a CR elsewhere.
        FIELD: A line of its head or trailer is no header field.
        LENGTH: The length of its body is no number, or has several values.
        CODING: Its transfer coding is not that of chunks alone.
        CHUNK: A chunk of its body does not begin or end as chunks do.
        AFTER_BODY: Bytes followed its body, which no request was waiting for.
        UNREADABLE: The HTTP library could not read its head.
    """

    FOREIGN = "foreign"
    TOO_LONG = "too long"
    STATUS_LINE = "status line"
    STATUS = "status"
    LINE_END = "line end"
    FIELD = "field"
    LENGTH = "length"
    CODING = "transfer coding"
    CHUNK = "chunk"
    AFTER_BODY = "bytes after the body"
    UNREADABLE = "unreadable"
