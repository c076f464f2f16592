"""A crowd of untrusted callers: sockets that send what a script says, and stop or stall."""

import contextlib
import socket
import time
from collections.abc import Callable, Iterator

CONNECT_SECONDS = 2.0
# Segment and receive buffer of callers that read slowly. With the segments of loopback, the kernel
# would buffer megabytes of each response.
SLOW_SEGMENT_BYTES = 536
SLOW_BUFFER_BYTES = 4_096
READ_BYTES = 100


class Crowd:
    """Callers that each have one connection; limited in number, and in time for each step.

    Args:
        address: Host and port of the instance.
        count: Number of callers.
        is_slow: Whether the callers have small segments and receive buffers.

    Attributes:
        refused_count: Callers that could not connect.
    """

    def __init__(self, address: tuple[str, int], count: int, is_slow: bool = False):
        self.refused_count = 0
        self._sockets: list[socket.socket] = []
        for _ in range(count):
            caller = socket.socket()
            if is_slow:
                caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SLOW_SEGMENT_BYTES)
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
            caller.settimeout(CONNECT_SECONDS)
            try:
                caller.connect(address)
            except OSError:
                self.refused_count += 1
                caller.close()
                continue
            caller.setblocking(False)
            self._sockets.append(caller)

    def send(self, make_script: Callable[[], Iterator[bytes]], seconds: float, pause: float = 0.0):
        """Sends each caller's script in turns, until all have ended or the time is over.

        Args:
            make_script: Returns the pieces that one caller sends, one in each round.
            seconds: Most time.
            pause: Pause after each round, in seconds.
        """
        script_by_socket = {caller: make_script() for caller in self._sockets}
        unsent_by_socket: dict[socket.socket, bytes] = {}
        ends_at = time.monotonic() + seconds
        while script_by_socket and time.monotonic() < ends_at:
            sent_any = False
            for caller, script in list(script_by_socket.items()):
                piece = unsent_by_socket.pop(caller, b"") or next(script, b"")
                if not piece:
                    del script_by_socket[caller]
                    continue
                try:
                    sent = caller.send(piece)
                except BlockingIOError:
                    sent = 0
                except OSError:
                    del script_by_socket[caller]
                    continue
                sent_any = sent_any or sent > 0
                if sent < len(piece):
                    unsent_by_socket[caller] = piece[sent:]
            time.sleep(pause if sent_any else max(pause, 0.01))

    def send_in_turn(self, request: bytes, pause: float):
        """Sends a short request from each caller, with a pause after each, in seconds."""
        for caller in self._sockets:
            with contextlib.suppress(OSError):
                caller.send(request)
            time.sleep(pause)

    def read_slowly(self, seconds: float):
        """Reads a few bytes of each response, again and again for some time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for caller in self._sockets:
                with contextlib.suppress(OSError):
                    caller.recv(READ_BYTES)
            time.sleep(0.1)

    def close(self):
        """Closes all connections."""
        for caller in self._sockets:
            caller.close()
