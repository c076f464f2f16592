"""State of sockets that another library owns, known by their descriptors.

Nothing here takes anything from a socket, neither its data nor its error. The system reports an
error, such as a reset, once; an owner that finds none takes the end of the connection for one in
order.
"""

import enum
import fcntl
import select
import socket
import termios

# Plain integers, since members of an enumeration are slower to pass.
_FAMILY = int(socket.AF_INET)
_KIND = int(socket.SOCK_STREAM)
# The number of bytes that the system returns as a C integer, if it is 0.
_NO_BYTES = bytes(4)


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
    # Most of the sockets that are asked hold data, which one question tells.
    return not has_unread(descriptor) and find_state(descriptor) is SocketState.ENDED


def has_unread(descriptor: int) -> bool:
    """Returns whether a socket holds data."""
    try:
        return _holds_bytes(descriptor)
    except OSError:
        return False


def find_state(descriptor: int, local_port: int = 0) -> SocketState:
    """Returns the state of a connected socket.

    Args:
        descriptor: Descriptor of the socket.
        local_port: Local port that the socket has, unless the descriptor belongs to another one
            now; 0 if that cannot be.
    """
    # If the descriptor has been closed, the connection is another one. An exception in a callback
    # of curl would end all calls, also later ones.
    try:
        if local_port and _find_port(descriptor) != local_port:
            return SocketState.UNKNOWN
        if not _is_ready(descriptor):
            return SocketState.QUIET
        return SocketState.READABLE if _holds_bytes(descriptor) else SocketState.ENDED
    except OSError:
        return SocketState.UNKNOWN


def _holds_bytes(descriptor: int) -> bool:
    return fcntl.ioctl(descriptor, termios.FIONREAD, _NO_BYTES) != _NO_BYTES


def _is_ready(descriptor: int) -> bool:
    """Returns whether reading a socket would not block, as it has bytes, an end or an error."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def _find_port(descriptor: int) -> int:
    """Returns the local port of a socket."""
    # The base class of ``socket.socket`` is faster to create. The family does not matter here; with
    # one, Python does not ask the system for it.
    view = socket.SocketType(_FAMILY, _KIND, 0, descriptor)
    try:
        return view.getsockname()[1]
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
