"""Stand-in for what lies between two ends of a connection: a TCP relay with faults.

Runs in a thread of the test. ``silence`` keeps all open connections open and passes
nothing more on them, while new connections work; ``one_way`` passes nothing towards the
target; ``cut`` closes all connections.
"""

import selectors
import socket
import threading

CHUNK_BYTES = 65_536
SELECT_SECONDS = 0.02


class _Pair:
    """The two sockets of a relayed connection."""

    def __init__(self, near: socket.socket, far: socket.socket):
        self.near = near
        self.far = far
        self.silent = False
        self.one_way = False


class Relay:
    """Relays connections from its own port to a target.

    Args:
        target_host: Address of the target.
        target_port: Port of the target.

    Attributes:
        port: Port that it listens on.
    """

    def __init__(self, target_host: str, target_port: int):
        self._target = (target_host, target_port)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self._lock = threading.Lock()
        self._pairs: list[_Pair] = []
        self._refusing = False
        self._ending = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def silence(self) -> int:
        """Silences the open connections; returns how many there were."""
        with self._lock:
            for pair in self._pairs:
                pair.silent = True
            return len(self._pairs)

    def one_way(self) -> None:
        """Drops what flows towards the target on the open connections."""
        with self._lock:
            for pair in self._pairs:
                pair.one_way = True

    def cut(self, refuse: bool) -> None:
        """Closes all connections, and refuses new ones if told to."""
        with self._lock:
            self._refusing = refuse
            for pair in self._pairs:
                pair.near.close()
                pair.far.close()
            self._pairs.clear()

    def close(self) -> None:
        """Ends the relay."""
        self._ending = True
        self._thread.join()
        self.cut(refuse=True)
        self._listener.close()

    def _run(self) -> None:
        while not self._ending:
            with self._lock:
                pairs = [pair for pair in self._pairs if not pair.silent]
            selector = selectors.DefaultSelector()
            selector.register(self._listener, selectors.EVENT_READ)
            for pair in pairs:
                for end in (pair.near, pair.far):
                    if end.fileno() >= 0:
                        selector.register(end, selectors.EVENT_READ, pair)
            for key, _ in selector.select(SELECT_SECONDS):
                if key.data is None:
                    self._accept()
                else:
                    self._pass_on(key.fileobj, key.data)
            selector.close()

    def _accept(self) -> None:
        near, _ = self._listener.accept()
        if self._refusing:
            near.close()
            return
        try:
            far = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            near.close()
            return
        with self._lock:
            self._pairs.append(_Pair(near, far))

    def _pass_on(self, source: socket.socket, pair: _Pair) -> None:
        try:
            chunk = source.recv(CHUNK_BYTES)
            if chunk and not pair.silent:
                self._forward(source, pair, chunk)
            ended = not chunk
        except OSError:
            ended = True
        if ended:
            self._drop(pair)

    @staticmethod
    def _forward(source: socket.socket, pair: _Pair, chunk: bytes) -> None:
        if source is pair.near:
            if not pair.one_way:
                pair.far.sendall(chunk)
        else:
            pair.near.sendall(chunk)

    def _drop(self, pair: _Pair) -> None:
        with self._lock:
            if pair in self._pairs:
                self._pairs.remove(pair)
                pair.near.close()
                pair.far.close()
