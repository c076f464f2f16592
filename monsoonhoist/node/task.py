"""Base class of an instance's tasks, which process messages from an inbox."""

import abc
import collections
import logging
from typing import Generic, TypeVar

MessageT = TypeVar("MessageT")

_log = logging.getLogger(__name__)


class Task(abc.ABC, Generic[MessageT]):
    """Owns its state and processes the messages of its inbox one at a time.

    A message is processed within the call to ``submit``, unless the task is already processing
    another one. A chain of messages between tasks thus needs no iteration of the event loop.
    """

    def __init__(self) -> None:
        self._inbox: collections.deque[MessageT] = collections.deque()
        self._is_started = False
        self._is_busy = False

    def start(self) -> None:
        """Starts the task and processes the messages already in the inbox."""
        self._is_started = True
        self._handle_inbox()

    def submit(self, message: MessageT) -> None:
        """Adds a message to the inbox and processes it unless the task is busy or stopped."""
        self._inbox.append(message)
        if not self._is_busy and self._is_started:
            self._handle_inbox()

    def stop(self) -> None:
        """Stops the task; the messages left in the inbox are not processed."""
        self._is_started = False

    @abc.abstractmethod
    def handle(self, message: MessageT) -> None:
        """Processes one message without blocking."""

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
