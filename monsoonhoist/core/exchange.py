"""Records of callers' requests and of backend servers' responses."""

import msgspec


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Header field of a request or a response, as received."""

    name: str
    value: str


class HttpRequest(msgspec.Struct, frozen=True, array_like=True):
    """A caller's HTTP request, which the kernels pass on uninterpreted.

    Attributes:
        method: HTTP method.
        target: Path and query string of the URL.
        headers: Header fields to forward.
        body: Request body.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes


class Response(msgspec.Struct, frozen=True, array_like=True):
    """A backend server's HTTP response, to be forwarded unchanged."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load that a server reports.

    Attributes:
        running: Number of running requests.
        waiting: Number of waiting requests.
        slots: Number of requests that the server runs concurrently.
        pace_percent: How long work takes on the server's machine at present, as a percentage of
            the usual time.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int = 100


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """What a server says about itself in a response.

    Attributes:
        is_leaving: Whether the server is leaving and is to receive no new requests.
        wait_seconds: How long the server is to receive no requests from this instance, because it
            has refused one; 0 for no wait.
        load: Load of the server; None if it reports none.
        cold_ms: How long the server stays cold; None if it does not say.
    """

    is_leaving: bool = False
    wait_seconds: float = 0.0
    load: Load | None = None
    cold_ms: int | None = None


NO_REPORT = ServerReport()


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request in the form that the kernels process.

    Attributes:
        request_id: The caller's id for the request; empty if none was sent.
        content: The HTTP request.
        limit: Number of results requested.
        deadline_ms: Deadline, in milliseconds from arrival; 0 for the route's.
        is_clamped: Whether a deadline longer than the route's is shortened to it instead of
            being refused.
        caller: Name of the caller for fair shares, the address of its connection; empty if it is
            unknown.
    """

    request_id: str
    content: HttpRequest
    limit: int = 10
    deadline_ms: int = 0
    is_clamped: bool = False
    caller: str = ""


class AnswerAttachments(msgspec.Struct, frozen=True):
    """Data of an answer beyond the record that callers of the native interface receive.

    Attributes:
        records: Results that are ordered by their bytes, best first.
        proofs: Proofs of the servers that they ran the request, one for each part.
        missing: Number of shards without a part.
        response: The server's response or error response, if the query is for one shard only.
    """

    records: tuple[bytes, ...] = ()
    proofs: tuple[str, ...] = ()
    missing: int = 0
    response: Response | None = None
