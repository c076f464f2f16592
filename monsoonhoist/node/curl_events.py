"""Watches the sockets and the timer of a curl multi handle on the event loop."""

import asyncio
import math
from collections.abc import Callable

import pycurl

MS_PER_SECOND = 1000
# The event loop may call a timer earlier by the resolution of its clock.
TIMER_TOLERANCE_SECONDS = 1e-4
_READ_ACTIONS = (pycurl.POLL_IN, pycurl.POLL_INOUT)
_WRITE_ACTIONS = (pycurl.POLL_OUT, pycurl.POLL_INOUT)


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
        # Actions of curl that are in force, none of which is ``POLL_REMOVE``.
        self._action_by_descriptor: dict[int, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        # When curl wants to process its timer, in event-loop seconds; infinite for never.
        self._due_at = math.inf

    def watch_socket(self, action: int, descriptor: int, multi: object, data: object) -> None:
        """Callback of curl to start or stop watching a socket."""
        self._unwatch(descriptor)
        if action == pycurl.POLL_REMOVE:
            return
        self._action_by_descriptor[descriptor] = action
        if action in _READ_ACTIONS:
            self._loop.add_reader(descriptor, self._handle_event, descriptor, pycurl.CSELECT_IN)
        if action in _WRITE_ACTIONS:
            self._loop.add_writer(descriptor, self._handle_event, descriptor, pycurl.CSELECT_OUT)

    def set_timer(self, milliseconds: int) -> None:
        """Callback of curl to set its timer; -1 to cancel it.

        Each call moves the timer to the present and then to a later time. A timer that is due
        earlier therefore stays, and is set again when it fires.
        """
        if milliseconds < 0:
            self._due_at = math.inf
            return
        self._due_at = self._loop.time() + milliseconds / MS_PER_SECOND
        if milliseconds == 0:
            self._loop.call_soon(self._handle_timer)
        elif self._timer is None or self._timer.when() > self._due_at:
            self._set_timer_at(self._due_at)

    def close(self) -> None:
        """Cancels the timer and stops watching all sockets."""
        self._due_at = math.inf
        if self._timer is not None:
            self._timer.cancel()
        for descriptor in list(self._action_by_descriptor):
            self._unwatch(descriptor)

    def _set_timer_at(self, due_at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(due_at, self._handle_fired_timer)

    def _handle_fired_timer(self) -> None:
        self._timer = None
        self._handle_timer()

    def _handle_timer(self) -> None:
        """Lets curl process its timer if it is due, and otherwise waits until it is."""
        if self._loop.time() + TIMER_TOLERANCE_SECONDS >= self._due_at:
            self._due_at = math.inf
            self._handle_event(pycurl.SOCKET_TIMEOUT, 0)
        if self._timer is None and self._due_at < math.inf:
            self._set_timer_at(self._due_at)

    def _unwatch(self, descriptor: int) -> None:
        # Removing a reader or writer that is not there costs the event loop an exception.
        action = self._action_by_descriptor.pop(descriptor, pycurl.POLL_NONE)
        if action in _READ_ACTIONS:
            self._loop.remove_reader(descriptor)
        if action in _WRITE_ACTIONS:
            self._loop.remove_writer(descriptor)
