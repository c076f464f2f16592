"""Records of HTTP calls that this program makes, and of their results."""

import datetime

import msgspec

from monsoonhoist.core import defects, exchange


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
        error: Why there is no complete response; empty if there is one.
        headers: Header fields of the response, also if its body is incomplete; empty if its head is
            incomplete, or if it was not accepted.
        defect: Why the response was not accepted; None if it was, or if there is none.
    """

    status: int
    body: bytes
    sent: bool
    timed_out: bool
    error: str
    headers: tuple[exchange.Header, ...] = ()
    defect: defects.Defect | None = None
