"""TCP relay with fault injection, a stand-in for the network between two processes.

The relay runs in a thread of the test. ``silence`` keeps the open connections open but relays no
more data on them, while new connections work; ``discard_to_target`` discards the data towards
the target on the open connections; ``cut`` closes all connections.
"""

import selectors
import socket
import threading

CHUNK_BYTES = 65_536
SELECT_TIMEOUT_SECONDS = 0.02


class _RelayedConnection:
    """The two sockets of a relayed connection.

    Attributes:
        client: Socket to the process that opened the connection.
        target: Socket to the target.
        is_silent: Whether nothing more is relayed in either direction.
        is_one_way: Whether data towards the target is discarded.
    """

    def __init__(self, client: socket.socket, target: socket.socket):
        self.client = client
        self.target = target
        self.is_silent = False
        self.is_one_way = False


class Relay:
    """Relays TCP connections from a port of its own to a target.

    Args:
        target_host: Address of the target.
        target_port: Port of the target.

    Attributes:
        port: Port that the relay listens on.
    """

    def __init__(self, target_host: str, target_port: int):
        self._target = (target_host, target_port)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self._lock = threading.Lock()
        self._connections: list[_RelayedConnection] = []
        self._is_refusing = False
        self._is_closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def silence(self) -> int:
        """Stops relaying on the open connections and returns their number."""
        with self._lock:
            for connection in self._connections:
                connection.is_silent = True
            return len(self._connections)

    def discard_to_target(self) -> None:
        """Discards the data towards the target on the open connections."""
        with self._lock:
            for connection in self._connections:
                connection.is_one_way = True

    def cut(self, refuses_new: bool) -> None:
        """Closes all connections.

        Args:
            refuses_new: Whether to close new connections as well.
        """
        with self._lock:
            self._is_refusing = refuses_new
            for connection in self._connections:
                connection.client.close()
                connection.target.close()
            self._connections.clear()

    def close(self) -> None:
        """Stops the relay and closes all its sockets."""
        self._is_closing = True
        self._thread.join()
        self.cut(refuses_new=True)
        self._listener.close()

    def _run(self) -> None:
        while not self._is_closing:
            with self._lock:
                connections = [
                    connection for connection in self._connections if not connection.is_silent
                ]
            selector = selectors.DefaultSelector()
            selector.register(self._listener, selectors.EVENT_READ)
            for connection in connections:
                for endpoint in (connection.client, connection.target):
                    if endpoint.fileno() >= 0:
                        selector.register(endpoint, selectors.EVENT_READ, connection)
            for key, _ in selector.select(SELECT_TIMEOUT_SECONDS):
                if key.data is None:
                    self._accept()
                else:
                    self._relay_chunk(key.fileobj, key.data)
            selector.close()

    def _accept(self) -> None:
        client, _ = self._listener.accept()
        if self._is_refusing:
            client.close()
            return
        try:
            target = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            client.close()
            return
        with self._lock:
            self._connections.append(_RelayedConnection(client, target))

    def _relay_chunk(self, source: socket.socket, connection: _RelayedConnection) -> None:
        try:
            chunk = source.recv(CHUNK_BYTES)
            if chunk and not connection.is_silent:
                self._forward(source, connection, chunk)
            is_closed = not chunk
        except OSError:
            is_closed = True
        if is_closed:
            self._close_connection(connection)

    @staticmethod
    def _forward(source: socket.socket, connection: _RelayedConnection, chunk: bytes) -> None:
        if source is connection.client:
            if not connection.is_one_way:
                connection.target.sendall(chunk)
        else:
            connection.client.sendall(chunk)

    def _close_connection(self, connection: _RelayedConnection) -> None:
        with self._lock:
            if connection in self._connections:
                self._connections.remove(connection)
                connection.client.close()
                connection.target.close()
