"""Planned stop of an instance: what it still accepts, and when its requests must be answered."""

import asyncio
import logging
from collections.abc import Callable

from monsoonhoist import settings
from monsoonhoist.core import clock, data

MS_PER_SECOND = 1000
# Interval at which an instance that is leaving checks whether it still has work.
CHECK_SECONDS = 0.05
# How long before the end of the stop all requests are answered, so that the answers arrive.
ANSWER_MARGIN_SECONDS = 0.3

_log = logging.getLogger(__name__)


class Stop:
    """Schedule of a planned stop.

    After ``begin`` the instance accepts requests until the load balancer has noticed, then
    completes those in flight. No request may last longer than the stop.

    Args:
        timing: Settings with the durations of the stop.
        time_source: The clock.
    """

    def __init__(self, timing: settings.TimingSection, time_source: clock.Clock):
        self._clock = time_source
        self._lag_seconds = timing.balancer_lag_ms.total_seconds()
        self._drain_seconds = timing.drain_max_ms.total_seconds()
        self._margin_seconds = min(ANSWER_MARGIN_SECONDS, self._drain_seconds)
        self._ends_at: float | None = None

    def begin(self) -> None:
        """Starts the stop."""
        self._ends_at = self._clock.monotonic() + self._lag_seconds + self._drain_seconds

    def seconds_to_end(self) -> float:
        """Returns the time until the end of the stop, in seconds."""
        return max(0.0, self._ends_at - self._clock.monotonic())

    def remaining_ms(self) -> int | None:
        """Returns how long a request may still last, in milliseconds; None without a stop."""
        if self._ends_at is None:
            return None
        remaining_seconds = self.seconds_to_end() - self._margin_seconds
        return max(1, int(remaining_seconds * MS_PER_SECOND))

    def may_accept(self, route: data.Route, deadline_ms: int) -> bool:
        """Returns whether a new request may be accepted, given the time left.

        One that must not run twice is accepted only if its whole time is left. Otherwise its
        outcome could be unknown although another instance would have had the time.

        Args:
            route: Route of the request.
            deadline_ms: The caller's deadline, in milliseconds from now; 0 for the route's.
        """
        remaining_ms = self.remaining_ms()
        if remaining_ms is None or route.repeatable:
            return True
        route_ms = int(route.deadline.total_seconds() * MS_PER_SECOND)
        return min(deadline_ms or route_ms, route_ms) <= remaining_ms

    async def wait_for_balancer(self) -> None:
        """Waits until the load balancer sends no new requests."""
        await asyncio.sleep(self._lag_seconds)

    async def wait_for_work(self, count_work: Callable[[], int]) -> None:
        """Waits until there is no work left, or until all answers are due.

        Args:
            count_work: Returns the amount of work left.
        """
        while (count := count_work()) and self.seconds_to_end() > self._margin_seconds:
            await asyncio.sleep(CHECK_SECONDS)
        if count:
            _log.error("work cut at the end of draining", extra={"active": count})
