"""Records of what callers and backend servers send; the kernels do not look into them."""

import msgspec


class Header(msgspec.Struct, frozen=True, array_like=True):
    """One header field of a request or a response, as received."""

    name: str
    value: str


class HttpRequest(msgspec.Struct, frozen=True, array_like=True):
    """What a caller sent; the kernels do not look into it.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Header fields to pass on.
        body: Body.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes


class Response(msgspec.Struct, frozen=True, array_like=True):
    """A backend server's own response, to be passed on as it is."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class Load(msgspec.Struct, frozen=True, array_like=True):
    """A server's own word on its load: running and waiting requests, and its slots."""

    running: int
    waiting: int
    slots: int


class Question(msgspec.Struct, frozen=True):
    """A caller's request as the kernels take it.

    Attributes:
        request_id: The caller's name for the request.
        content: What the caller sent.
        limit: Number of results wanted.
        deadline_ms: Shorter deadline than the route's; 0 for the route's.
        is_clamped: Whether a deadline beyond the route's is cut to it, not refused.
    """

    request_id: str
    content: HttpRequest
    limit: int = 10
    deadline_ms: int = 0
    is_clamped: bool = False


class AnswerAttachments(msgspec.Struct, frozen=True):
    """What an answer holds besides the record shown to callers of our own interface.

    Attributes:
        records: Entries that are ordered by their bytes, best first.
        proofs: Proofs of the parts included.
        missing: Number of shards left out.
        response: The server's response to work that concerns one shard, or its failure.
    """

    records: tuple[bytes, ...] = ()
    proofs: tuple[str, ...] = ()
    missing: int = 0
    response: Response | None = None
