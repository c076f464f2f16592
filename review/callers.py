"""Callers for the cases, on plain sockets, so that the bytes of an answer are visible."""

import dataclasses
import socket
import time

# The ports of the deployment are chosen when this module is imported.
from review import deployment  # noqa: F401
from standins import fleet


@dataclasses.dataclass
class Answer:
    """What a caller saw of the answer to a request.

    Attributes:
        outcome: ``answered``; ``closed`` if the connection ended without a complete answer; or
            ``silent`` if there was no complete answer while the caller waited.
        status: HTTP status; 0 unless answered.
        seconds: Time from sending to the end.
    """

    outcome: str
    status: int
    seconds: float


class Connection:
    """A kept connection of a caller.

    Args:
        number: Number of the instance.
    """

    def __init__(self, number: int):
        address = (f"127.0.1.{number}", fleet.CALLERS_PORT)
        self._socket = socket.create_connection(address, timeout=1.0)

    def exchange(
        self, method: str, target: str, request_id: str, deadline_ms: int, patience_seconds: float
    ) -> Answer:
        """Sends a request without a body and waits for the answer.

        Args:
            method: Method of the request.
            target: Path and query string.
            request_id: Value of ``X-Request-Id``.
            deadline_ms: Value of ``X-Deadline-Ms``.
            patience_seconds: How long to wait for the answer.
        """
        lines = (
            f"{method} {target} HTTP/1.1",
            f"Host: {fleet.HOST_NAME}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
        )
        started_at = time.monotonic()
        self._socket.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        outcome, status = self._receive(method == "HEAD", started_at + patience_seconds)
        return Answer(outcome, status, time.monotonic() - started_at)

    def _receive(self, is_head: bool, ends_at: float) -> tuple[str, int]:
        received = b""
        while not _is_complete(received, is_head):
            self._socket.settimeout(max(0.001, ends_at - time.monotonic()))
            try:
                chunk = self._socket.recv(65_536)
            except TimeoutError:
                return "silent", 0
            except ConnectionError:
                chunk = b""
            if not chunk:
                return "closed", 0
            received += chunk
        return "answered", int(received.split(b" ", 2)[1])

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()


def _is_complete(received: bytes, is_head: bool) -> bool:
    """Returns whether the bytes are a complete response, whose body has a length."""
    head, end, body = received.partition(b"\r\n\r\n")
    if not end:
        return False
    lengths = [
        int(line.split(b":")[1])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length:")
    ]
    return is_head or len(body) >= sum(lengths)
