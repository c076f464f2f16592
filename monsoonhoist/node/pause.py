"""Detects that the process was suspended and resumed later."""

import asyncio
import datetime
import logging
from collections.abc import Callable

from monsoonhoist.core import clock

TICK_SECONDS = 0.1
# Time after a pause in which received data may have been buffered in a socket during the pause.
STALE_MESSAGES_SECONDS = 0.1

_log = logging.getLogger(__name__)


class PauseDetector:
    """Detects pauses of the process by gaps between periodic ticks of the event loop.

    Messages that are read shortly after a pause may have arrived before or during it.

    Args:
        time_source: The clock.
        gap_min: Minimum gap between ticks that counts as a pause.
        on_pause: Called with the length of the gap, in seconds, when a pause is detected.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        gap_min: datetime.timedelta,
        on_pause: Callable[[float], None],
    ):
        self._clock = time_source
        self._gap_min_seconds = gap_min.total_seconds()
        self._on_pause = on_pause
        self._last_tick_at = time_source.monotonic()
        self._stale_until = self._last_tick_at
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts ticking."""
        self._last_tick_at = self._clock.monotonic()
        self._task = asyncio.create_task(self._run(), name="pause watch")

    def stop(self) -> None:
        """Stops ticking."""
        if self._task is not None:
            self._task.cancel()

    def may_receive_stale_messages(self) -> bool:
        """Returns whether messages that are now received may predate a pause."""
        now = self._clock.monotonic()
        return now - self._last_tick_at > self._gap_min_seconds or now < self._stale_until

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.monotonic()
            gap = now - self._last_tick_at
            self._last_tick_at = now
            if gap > self._gap_min_seconds:
                self._stale_until = now + STALE_MESSAGES_SECONDS
                _log.warning("the process was paused", extra={"seconds": round(gap, 3)})
                self._on_pause(gap)
