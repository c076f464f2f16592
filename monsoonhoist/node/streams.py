"""Message frames on a TCP stream between instances.

A frame consists of the length of its body, as four bytes in big-endian order, and the body, a
message encoded as MessagePack.
"""

import asyncio
import logging
import struct
from collections.abc import Callable

from monsoonhoist import errors
from monsoonhoist.protocol import messages

_LENGTH = struct.Struct(">I")

_log = logging.getLogger(__name__)


class MessageStream(asyncio.Protocol):
    """Sends and receives messages on a TCP connection.

    Received messages are passed on as they arrive, without a task that waits for them: an instance
    has many streams, most of which carry only heartbeats.

    Args:
        frame_bytes_max: Maximum length of a frame, in both directions.
        unsent_bytes_max: Most bytes that may wait to be sent.
        handle_message: Called with each message.
        handle_loss: Called once if the connection ends otherwise than by ``close``.
    """

    def __init__(
        self,
        frame_bytes_max: int,
        unsent_bytes_max: int,
        handle_message: Callable[[messages.Message], None],
        handle_loss: Callable[[Exception], None],
    ):
        self._frame_bytes_max = frame_bytes_max
        self._unsent_bytes_max = unsent_bytes_max
        self._handle_message = handle_message
        self._handle_loss = handle_loss
        self._transport: asyncio.Transport | None = None
        self._is_closed = False
        self._received = bytearray()

    @property
    def peer_host(self) -> str:
        """IP address of the other side; empty if there is no connection."""
        name = self._transport.get_extra_info("peername") if self._transport else None
        return name[0] if name else ""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport of the new connection."""
        self._transport = transport
        if self._is_closed:
            transport.abort()

    def data_received(self, chunk: bytes) -> None:
        """Passes on the messages that are complete."""
        self._received += chunk
        try:
            while not self._is_closed and (body := self._take_frame()) is not None:
                self._handle_message(messages.decode(body))
        except errors.ProtocolError as error:
            self._fail(error)
        except Exception as error:
            _log.exception("message not handled", extra={"peer": self.peer_host})
            self._fail(error)

    def connection_lost(self, error: Exception | None) -> None:
        """Reports the loss, unless the stream was closed on this side."""
        self._fail(error or errors.StreamError("the connection was closed by the other side"))

    def send(self, message: messages.Message) -> int:
        """Queues a message for sending without waiting.

        Returns:
            The number of bytes queued.

        Raises:
            FrameTooLargeError: If the message is longer than the other side accepts, given the same
                settings. The stream remains open.
            StreamError: If the stream is closed, or too many bytes wait to be sent.
        """
        body = messages.encode(message)
        if len(body) > self._frame_bytes_max:
            raise errors.FrameTooLargeError(
                f"a message of {len(body)} bytes exceeds the setting frame_bytes"
            )
        if self._is_closed or self._transport is None or self._transport.is_closing():
            raise errors.StreamError("the stream is closed")
        if self._transport.get_write_buffer_size() + len(body) > self._unsent_bytes_max:
            raise errors.StreamError(f"more than {self._unsent_bytes_max} bytes wait to be sent")
        self._transport.write(_LENGTH.pack(len(body)) + body)
        return _LENGTH.size + len(body)

    def close(self) -> None:
        """Closes the stream immediately."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def _take_frame(self) -> bytes | None:
        """Removes and returns the body of the first frame; None if it is not complete.

        Raises:
            FrameTooLargeError: If the frame is longer than accepted.
        """
        if len(self._received) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._received)
        if length > self._frame_bytes_max:
            raise errors.FrameTooLargeError(
                f"a frame of {length} bytes exceeds the setting frame_bytes"
            )
        end = _LENGTH.size + length
        if len(self._received) < end:
            return None
        body = bytes(self._received[_LENGTH.size : end])
        del self._received[:end]
        return body

    def _fail(self, error: Exception) -> None:
        """Closes the stream and reports its loss, once."""
        if not self._is_closed:
            self.close()
            self._handle_loss(error)
