"""State of sockets that another library owns, known by their descriptors."""

import errno
import socket

# Plain integers, since members of an enumeration are slower to pass.
_FAMILY = int(socket.AF_INET)
_KIND = int(socket.SOCK_STREAM)
_PEEK_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)
_ENDED_ERRORS = (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH)


def has_ended(descriptor: int, local_port: int = 0) -> bool:
    """Returns whether a socket has been closed or reset by its peer and holds no more data.

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
        return False
    try:
        if local_port and view.getsockname()[1] != local_port:
            return False
        return not view.recv(1, _PEEK_FLAGS)
    except BlockingIOError:
        return False
    except OSError as error:
        return error.errno in _ENDED_ERRORS
    finally:
        view.detach()
