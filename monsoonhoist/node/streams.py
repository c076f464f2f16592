"""Message frames on a TCP stream between instances.

A frame consists of the length of its body, as four bytes in big-endian order, and the body, a
message encoded as MessagePack.
"""

import struct

from tornado import iostream

from monsoonhoist import errors
from monsoonhoist.core import messages

_LENGTH = struct.Struct(">I")


class MessageStream:
    """Sends and receives messages on a TCP stream.

    Args:
        stream: The connected stream; owned by this object.
        frame_bytes_max: Maximum length of an accepted frame.
    """

    def __init__(self, stream: iostream.IOStream, frame_bytes_max: int):
        self._stream = stream
        self._frame_bytes_max = frame_bytes_max
        stream.set_nodelay(True)

    @property
    def is_closed(self) -> bool:
        """Whether the stream is closed."""
        return self._stream.closed()

    def send(self, message: messages.Message) -> int:
        """Queues a message for sending without waiting.

        Returns:
            The number of bytes queued.

        Raises:
            StreamClosedError: If the stream is closed.
            StreamBufferFullError: If the stream has a limit on queued bytes, and they exceed it.
        """
        body = messages.encode(message)
        self._stream.write(_LENGTH.pack(len(body)) + body)
        return _LENGTH.size + len(body)

    async def receive(self) -> messages.Message:
        """Returns the next message.

        Raises:
            StreamClosedError: If the stream is closed.
            FrameTooLargeError: If the frame is longer than accepted.
            ProtocolError: If the frame is not a valid message.
        """
        header = await self._stream.read_bytes(_LENGTH.size)
        (length,) = _LENGTH.unpack(header)
        if length > self._frame_bytes_max:
            raise errors.FrameTooLargeError(
                f"a frame of {length} bytes exceeds the setting frame_bytes"
            )
        return messages.decode(await self._stream.read_bytes(length))

    def close(self) -> None:
        """Closes the stream immediately."""
        self._stream.close()
