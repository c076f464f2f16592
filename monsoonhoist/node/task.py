"""Base of the tasks of an instance."""

import abc
import collections
import logging
from typing import Generic, TypeVar

MessageT = TypeVar("MessageT")

_log = logging.getLogger(__name__)


class Task(abc.ABC, Generic[MessageT]):
    """Owns its state and takes messages one at a time from its inbox.

    A message is handled within the call that brings it, unless the task is at work on
    another one; so a chain of messages needs no turn of the event loop.
    """

    def __init__(self) -> None:
        self._inbox: collections.deque[MessageT] = collections.deque()
        self._is_started = False
        self._is_busy = False

    def start(self) -> None:
        """Starts the task; messages that came before are handled now."""
        self._is_started = True
        self._handle_inbox()

    def submit(self, message: MessageT) -> None:
        """Puts a message into the inbox."""
        self._inbox.append(message)
        if not self._is_busy and self._is_started:
            self._handle_inbox()

    def stop(self) -> None:
        """Ends the task without handling the messages left."""
        self._is_started = False

    @abc.abstractmethod
    def handle(self, message: MessageT) -> None:
        """Handles one message without blocking."""

    def _handle_inbox(self) -> None:
        self._is_busy = True
        try:
            while self._inbox and self._is_started:
                self._try_handle(self._inbox.popleft())
        finally:
            self._is_busy = False

    def _try_handle(self, message: MessageT) -> None:
        try:
            self.handle(message)
        except Exception:
            _log.exception("message not handled", extra={"kind": type(message).__name__})
