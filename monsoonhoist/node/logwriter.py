"""Writes the buffered log lines from the event loop."""

import asyncio
import logging

from monsoonhoist import logs, metrics

_log = logging.getLogger(__name__)


class LogWriter:
    """Writes lines a moment after they come, and tells what was left out.

    Args:
        handler: Keeps the lines.
        counters: Metrics.
    """

    def __init__(self, handler: logs.BufferHandler, counters: metrics.Metrics):
        self._handler = handler
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._reported = 0
        self._reporter: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Takes over the writing."""
        self._handler.set_wake(self._wake)
        self._reporter = asyncio.create_task(self._report(), name="log report")

    def stop(self) -> None:
        """Writes what can be written, and lets the handler write by itself again."""
        self._reporter.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._handler.set_wake(None)
        self._handler.write()

    def _wake(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(logs.WRITE_PERIOD_SECONDS, self._write)

    def _write(self) -> None:
        self._timer = None
        if not self._handler.write():
            self._wake()

    async def _report(self) -> None:
        """Tells at intervals how many lines were left out since the last time."""
        while True:
            await asyncio.sleep(logs.REPORT_PERIOD_SECONDS)
            left_out = self._handler.left_out - self._reported
            if left_out:
                self._reported = self._handler.left_out
                self._counters.count_lines_left_out(left_out)
                _log.warning("log lines left out", extra={"lines": left_out})
