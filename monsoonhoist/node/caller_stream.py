"""Stream of one caller's connection, which counts the bytes that the caller makes it hold."""

import asyncio
import enum
import logging
import socket
from typing import Protocol

from tornado import iostream

from monsoonhoist.core import data

_HEAD_TOO_LONG = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

_log = logging.getLogger(__name__)


class State(enum.Enum):
    """What a connection is doing.

    Attributes:
        IDLE: No byte of a request has arrived.
        HEAD: Part of a head has arrived.
        BODY: The head is complete, the body is not.
        WORKING: The request is complete and has no answer.
        ANSWERED: The answer is being written, or the request was refused.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    WORKING = "working"
    ANSWERED = "answered"


class Message(Protocol):
    """A request whose head has been read."""

    def refuse(self, reason: data.Refusal) -> None:
        """Answers a request that is not complete with a refusal."""


class StreamListener(Protocol):
    """Receives what happens on the connections of callers."""

    def handle_change(self, caller: "CallerStream") -> None:
        """Handles that a connection has read, written or changed its state."""

    def begin_work(self, caller: "CallerStream") -> None:
        """Handles that a request is complete."""

    def end_work(self, caller: "CallerStream") -> None:
        """Handles that a request has its answer."""

    def forget(self, caller: "CallerStream") -> None:
        """Handles that a connection is closed."""

    def record_close(self, caller: "CallerStream", reason: str) -> None:
        """Counts and logs that a caller is refused or its connection is closed."""


class CallerStream(iostream.IOStream):
    """Stream of one caller's connection, which counts the bytes that it holds.

    Args:
        connection: The connected socket.
        number: Number of the connection, for the log.
        listener: Receives what happens on the connection.
        opened_at: When the connection was accepted, in event-loop seconds.

    Attributes:
        number: Number of the connection, for the log.
        state: What the connection is doing.
        message: Receiver of the current request; None before its head is complete.
        is_refused: Whether the request was refused, so that what still arrives is dropped.
        since: When the state ``HEAD`` began, or when the last byte was read or written.
        counted: Bytes that the account counts.
    """

    def __init__(
        self,
        connection: socket.socket,
        number: int,
        listener: StreamListener,
        opened_at: float,
    ):
        super().__init__(connection)
        self.number = number
        self.state = State.IDLE
        self.message: Message | None = None
        self.is_refused = False
        self.since = opened_at
        self.counted = 0
        self._received = 0
        self._unsent = 0
        self._listener = listener

    @property
    def held(self) -> int:
        """Bytes that the connection holds: of its request, and of an answer that is not sent."""
        return self._received + self._unsent

    @property
    def unsent(self) -> int:
        """Bytes of answers that the caller has not taken."""
        return self._unsent

    def begin_message(self) -> None:
        """Prepares for the next request, of which bytes may have been read already."""
        self.message = None
        self._received = self._read_buffer_size
        self.state = State.HEAD if self._received else State.IDLE
        self._listener.handle_change(self)

    def add_overhead(self, count: int) -> None:
        """Adds memory that the request takes beyond its bytes."""
        self._received += count
        self._listener.handle_change(self)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket and counts what was read."""
        count = super().read_from_fd(buf)
        if count and not self.is_refused:
            self._received += count
            if self.state is State.IDLE:
                self.state = State.HEAD
            self._listener.handle_change(self)
        return count

    def write(self, content: bytes | memoryview) -> asyncio.Future[None]:
        """Writes to the caller; from then on the answer is counted instead of its request."""
        self._unsent += len(content)
        if self.state is State.WORKING:
            self.state = State.ANSWERED
            self._received = 0
            self._listener.end_work(self)
        future = super().write(content)
        self._listener.handle_change(self)
        return future

    def write_to_fd(self, content: memoryview) -> int:
        """Writes to the socket and stops counting the bytes that were written."""
        count = super().write_to_fd(content)
        if count:
            self._unsent -= count
            self._listener.handle_change(self)
        return count

    def close(self, exc_info: object = False) -> None:
        """Closes the connection; a caller whose head is too long first receives status 431."""
        is_too_long = isinstance(exc_info, iostream.UnsatisfiableReadError)
        if is_too_long and self.state is State.HEAD and not self.closed():
            self._listener.record_close(self, "head_too_long")
            try:
                super().write_to_fd(memoryview(_HEAD_TOO_LONG))
            except OSError as error:
                _log.debug("refusal not sent", extra={"error": str(error)})
        self._listener.forget(self)
        super().close(exc_info)
