"""State of sockets that another library owns, known by their descriptors."""

import enum
import errno
import fcntl
import socket
import termios

# Plain integers, since members of an enumeration are slower to pass.
_FAMILY = int(socket.AF_INET)
_KIND = int(socket.SOCK_STREAM)
_PEEK_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)
# The number of bytes that the system returns as a C integer, if it is 0.
_NO_BYTES = bytes(4)
_ENDED_ERRORS = (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH)


class SocketState(enum.Enum):
    """State of a connected socket.

    Attributes:
        QUIET: It is open and holds no data.
        READABLE: It holds data.
        ENDED: Its peer has closed or reset it, and it holds no data.
        UNKNOWN: It cannot be told, or the socket is another one.
    """

    QUIET = enum.auto()
    READABLE = enum.auto()
    ENDED = enum.auto()
    UNKNOWN = enum.auto()


def has_ended(descriptor: int) -> bool:
    """Returns whether a socket has been closed or reset by its peer and holds no more data."""
    return peek(descriptor) is SocketState.ENDED


def has_unread(descriptor: int) -> bool:
    """Returns whether a socket holds data."""
    try:
        return fcntl.ioctl(descriptor, termios.FIONREAD, _NO_BYTES) != _NO_BYTES
    except OSError:
        return False


def peek(descriptor: int, local_port: int = 0) -> SocketState:
    """Returns the state of a connected socket without reading from it.

    Args:
        descriptor: Descriptor of the socket.
        local_port: Local port that the socket has, unless the descriptor belongs to another one
            now; 0 if that cannot be.
    """
    # The base class of ``socket.socket`` is faster to create. The family does not matter here; with
    # one, Python does not ask the system for it.
    try:
        view = socket.SocketType(_FAMILY, _KIND, 0, descriptor)
    except OSError:
        # The descriptor has been closed, so that the connection is another one. An exception in a
        # callback of curl would end all calls, also later ones.
        return SocketState.UNKNOWN
    try:
        if local_port and view.getsockname()[1] != local_port:
            return SocketState.UNKNOWN
        return SocketState.READABLE if view.recv(1, _PEEK_FLAGS) else SocketState.ENDED
    except BlockingIOError:
        return SocketState.QUIET
    except OSError as error:
        return SocketState.ENDED if error.errno in _ENDED_ERRORS else SocketState.UNKNOWN
    finally:
        view.detach()


def shut_down(descriptor: int) -> None:
    """Ends the connection of a socket, so that it is not used again; its owner closes it.

    Args:
        descriptor: Descriptor of the socket; negative if it is closed already.
    """
    if descriptor < 0:
        return
    try:
        view = socket.SocketType(_FAMILY, _KIND, 0, descriptor)
    except OSError:
        return
    try:
        view.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer has ended it already.
        return
    finally:
        view.detach()
