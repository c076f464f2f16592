"""Watches the sockets and the timer of a curl multi handle on the event loop."""

import asyncio
from collections.abc import Callable

import pycurl

MS_PER_SECOND = 1000


class EventWatcher:
    """Watches sockets, and sets the timer, as curl requests it.

    Args:
        loop: The event loop.
        handle_event: Called with a descriptor and the event of curl for which it is ready, or with
            ``SOCKET_TIMEOUT`` and 0 for the timer.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handle_event: Callable[[int, int], None]
    ) -> None:
        self._loop = loop
        self._handle_event = handle_event
        self._descriptors: set[int] = set()
        self._timer: asyncio.TimerHandle | None = None

    def watch_socket(self, action: int, descriptor: int, multi: object, data: object) -> None:
        """Callback of curl to start or stop watching a socket."""
        self._unwatch(descriptor)
        if action == pycurl.POLL_REMOVE:
            return
        self._descriptors.add(descriptor)
        if action in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            self._loop.add_reader(descriptor, self._handle_event, descriptor, pycurl.CSELECT_IN)
        if action in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            self._loop.add_writer(descriptor, self._handle_event, descriptor, pycurl.CSELECT_OUT)

    def set_timer(self, milliseconds: int) -> None:
        """Callback of curl to set its timer; -1 to cancel it."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if milliseconds >= 0:
            delay = milliseconds / MS_PER_SECOND
            self._timer = self._loop.call_later(delay, self._handle_event, pycurl.SOCKET_TIMEOUT, 0)

    def close(self) -> None:
        """Cancels the timer and stops watching all sockets."""
        if self._timer is not None:
            self._timer.cancel()
        for descriptor in list(self._descriptors):
            self._unwatch(descriptor)

    def _unwatch(self, descriptor: int) -> None:
        if descriptor in self._descriptors:
            self._descriptors.discard(descriptor)
            self._loop.remove_reader(descriptor)
            self._loop.remove_writer(descriptor)
