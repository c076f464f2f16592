"""Writes the buffered log lines from the event loop."""

import asyncio
import logging

from monsoonhoist import logs, metrics

_log = logging.getLogger(__name__)


class LogWriter:
    """Writes buffered lines after a short delay, and reports how many were dropped.

    Args:
        handler: Log handler that buffers the lines.
        counters: Metrics of this instance.
    """

    def __init__(self, handler: logs.BufferHandler, counters: metrics.Metrics):
        self._handler = handler
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._reported_count = 0
        self._report_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to write lines from the event loop instead of on each log call."""
        self._handler.set_write_callback(self._schedule_write)
        self._report_task = asyncio.create_task(self._report_dropped_lines(), name="log report")

    def stop(self) -> None:
        """Writes what can be written without blocking, and restores writing on each log call."""
        self._report_task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._handler.set_write_callback(None)
        self._handler.write()

    def _schedule_write(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(logs.WRITE_DELAY_SECONDS, self._write)

    def _write(self) -> None:
        self._timer = None
        if not self._handler.write():
            self._schedule_write()

    async def _report_dropped_lines(self) -> None:
        """Logs and counts, at intervals, the lines dropped since the previous report."""
        while True:
            await asyncio.sleep(logs.REPORT_PERIOD_SECONDS)
            dropped = self._handler.dropped_count - self._reported_count
            if dropped:
                self._reported_count = self._handler.dropped_count
                self._counters.count_log_lines_left_out(dropped)
                _log.warning("log lines left out", extra={"lines": dropped})
