"""Keeps curl from sending a request twice.

curl resends a request, up to five times, if a connection that it has used before ends before a byte
of the response, and has no option against this. Such a resend reaches a server without being
allowed, with an outdated deadline, and hides the loss of the response.
"""

import sys

import pycurl

from monsoonhoist.node import socket_state

# Most entries for local endpoints: twice the connections that curl keeps.
ENDPOINTS_MAX = 8_192


class KeptConnections:
    """Sockets of connections by their local endpoints, to check a connection that is reused.

    curl looks for connections that have ended only once a second. Entries of closed connections
    remain until they are replaced, so that an entry is compared with its socket.
    """

    def __init__(self) -> None:
        self._descriptor_by_endpoint: dict[tuple[str, int], int] = {}

    def record(self, address: str, port: int, descriptor: int) -> None:
        """Records the socket of a new connection; the oldest entry goes if there are too many."""
        # Interning shares one text among the entries of an address, which saves memory.
        self._descriptor_by_endpoint[sys.intern(address), port] = descriptor
        if len(self._descriptor_by_endpoint) > ENDPOINTS_MAX:
            del self._descriptor_by_endpoint[next(iter(self._descriptor_by_endpoint))]

    def find(self, address: str, port: int) -> int | None:
        """Returns the descriptor of a kept connection, or None if it is unknown."""
        return self._descriptor_by_endpoint.get((address, port))


class SendGuard:
    """Allows curl to send the request of one call once, on a connection that is in order.

    A kept connection is not if it has ended, or if it holds bytes: they belong to no request, and
    curl would take them for the response.

    Args:
        connections: Connections that may be reused.

    Attributes:
        is_sent: Whether curl has begun to send the request.
    """

    def __init__(self, connections: KeptConnections) -> None:
        self.is_sent = False
        self._connections = connections
        self._descriptor: int | None = None
        self._has_met_unusable = False

    def set_options(self, handle: pycurl.Curl) -> None:
        """Registers the callbacks of this guard."""
        handle.setopt(pycurl.PREREQFUNCTION, self._allow_request)
        handle.setopt(pycurl.SOCKOPTFUNCTION, self._allow_connection)

    def take_restart(self) -> bool:
        """Returns whether the call must start again: its kept connection was not in order.

        Only the first call of this method after such a connection returns True.
        """
        has_met_unusable, self._has_met_unusable = self._has_met_unusable, False
        return has_met_unusable

    def has_unread(self) -> bool:
        """Returns whether the connection of the call holds bytes that curl has not read."""
        return self._descriptor is not None and socket_state.has_unread(self._descriptor)

    def _allow_request(
        self, remote_address: str, local_address: str, remote_port: int, local_port: int
    ) -> int:
        """Callback of curl before it sends the request on a connection."""
        if self.is_sent:
            return pycurl.PREREQFUNC_ABORT
        if self._descriptor is not None:
            self._connections.record(local_address, local_port, self._descriptor)
        else:
            self._descriptor = self._connections.find(local_address, local_port)
            if not self._is_usable(local_port):
                self._has_met_unusable = True
                return pycurl.PREREQFUNC_ABORT
        self.is_sent = True
        return pycurl.PREREQFUNC_OK

    def _is_usable(self, local_port: int) -> bool:
        """Returns whether the kept connection of the call is not known to be out of order."""
        if self._descriptor is None:
            return True
        state = socket_state.find_state(self._descriptor, local_port)
        if state is socket_state.SocketState.UNKNOWN:
            self._descriptor = None
        return state not in (socket_state.SocketState.ENDED, socket_state.SocketState.READABLE)

    def _allow_connection(self, descriptor: int, purpose: int) -> int:
        """Callback of curl before it opens a connection."""
        if self.is_sent:
            return pycurl.SOCKOPT_ERROR
        self._descriptor = descriptor
        return pycurl.SOCKOPT_OK
