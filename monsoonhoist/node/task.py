"""Base of the tasks of an instance."""

import abc
import asyncio
import logging
from typing import Generic, TypeVar

MessageT = TypeVar("MessageT")

_log = logging.getLogger(__name__)


class Task(abc.ABC, Generic[MessageT]):
    """Owns its state and takes messages one at a time from its inbox."""

    def __init__(self) -> None:
        self._inbox: asyncio.Queue[MessageT] = asyncio.Queue()
        self._runner: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the task in the running event loop."""
        self._runner = asyncio.create_task(self._run(), name=type(self).__name__)

    def tell(self, message: MessageT) -> None:
        """Puts a message into the inbox."""
        self._inbox.put_nowait(message)

    async def stop(self) -> None:
        """Ends the task without handling the messages left."""
        if self._runner is not None:
            self._runner.cancel()
            await asyncio.gather(self._runner, return_exceptions=True)

    @abc.abstractmethod
    def handle(self, message: MessageT) -> None:
        """Handles one message without blocking."""

    async def _run(self) -> None:
        while True:
            message = await self._inbox.get()
            try:
                self.handle(message)
            except Exception:
                _log.exception("message not handled", extra={"kind": type(message).__name__})
