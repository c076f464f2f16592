"""Responses that are broken off: the connection ends before the body does, or as its end.

The name of a fault says how the head states the length of the body, how much of the body is sent,
and how the connection then ends, for instance ``no length, half of it, reset``.
"""

import enum
import itertools
import socket
import struct

import msgspec

# Time between the last byte and the end of the connection, in which the client reads the bytes.
DELAY_SECONDS = 0.005


class Framing(enum.Enum):
    """How a head states where the body ends."""

    NONE = "no length"
    LENGTH = "a length"
    CHUNKS = "chunks"


class Ending(enum.Enum):
    """How a connection ends: in order or by a reset, some time after the last byte or at once."""

    CLOSED = "closed"
    RESET = "reset"
    RESET_AT_ONCE = "reset at once"


class Fault(msgspec.Struct, frozen=True):
    """How a response is broken off.

    Attributes:
        framing: How the head states the length of the body.
        share: Share of the body that is sent, from 0 to 1.
        ending: How the connection ends.
    """

    framing: Framing
    share: float
    ending: Ending

    @property
    def delay_seconds(self) -> float:
        """Time between the last byte and the end of the connection."""
        return 0.0 if self.ending is Ending.RESET_AT_ONCE else DELAY_SECONDS


SHARE_BY_NAME = {"none of it": 0.0, "half of it": 0.5, "all of it": 1.0}
FAULT_BY_NAME = {
    f"{framing.value}, {name}, {ending.value}": Fault(framing, share, ending)
    for framing, (name, share), ending in itertools.product(Framing, SHARE_BY_NAME.items(), Ending)
}


def encode(fields: bytes, body: bytes, fault: Fault) -> bytes:
    """Returns the bytes that are sent of a response.

    Args:
        fields: The status line and the header fields, each with its line end, without those that
            state the length of the body.
        body: The whole body.
        fault: How the response is broken off.
    """
    sent_body = body[: round(len(body) * fault.share)]
    if fault.framing is Framing.LENGTH:
        return fields + b"Content-Length: %d\r\n\r\n" % len(body) + sent_body
    if fault.framing is Framing.CHUNKS:
        chunk = b"%x\r\n" % len(body) + sent_body
        return fields + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
    return fields + b"\r\n" + sent_body


def prepare_end(stream_socket: socket.socket, fault: Fault) -> None:
    """Makes the system reset a connection when its socket is closed, if the fault says so."""
    if fault.ending is not Ending.CLOSED:
        set_reset(stream_socket)


def set_reset(stream_socket: socket.socket) -> None:
    """Makes the system reset a connection when its socket is closed."""
    # The system does so for a linger time of 0.
    stream_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
