"""Frames on a TCP stream between instances.

A frame is a length of four bytes, most significant first, and as many bytes of
MessagePack.
"""

import struct

from tornado import iostream

from monsoonhoist import errors
from monsoonhoist.core import messages

_LENGTH = struct.Struct(">I")


class MessageStream:
    """Sends and receives messages on a stream.

    Args:
        stream: The connected stream; owned by this object.
        frame_bytes_max: Longest frame taken.
    """

    def __init__(self, stream: iostream.IOStream, frame_bytes_max: int):
        self._stream = stream
        self._frame_bytes_max = frame_bytes_max
        stream.set_nodelay(True)

    @property
    def is_closed(self) -> bool:
        """Whether the stream has ended."""
        return self._stream.closed()

    def send(self, message: messages.Message) -> int:
        """Queues a message for sending without waiting.

        Returns:
            The number of bytes queued.

        Raises:
            StreamClosedError: If the stream has ended.
            StreamBufferFullError: If too much is queued.
        """
        body = messages.encode(message)
        self._stream.write(_LENGTH.pack(len(body)) + body)
        return _LENGTH.size + len(body)

    async def receive(self) -> messages.Message:
        """Returns the next message.

        Raises:
            StreamClosedError: If the stream has ended.
            ProtocolError: If the bytes are not the protocol.
        """
        header = await self._stream.read_bytes(_LENGTH.size)
        (length,) = _LENGTH.unpack(header)
        if length > self._frame_bytes_max:
            raise errors.FrameTooLargeError(f"frame of {length} bytes")
        return messages.decode(await self._stream.read_bytes(length))

    def close(self) -> None:
        """Ends the stream at once."""
        self._stream.close()
