"""Clock interface and its implementations.

Decisions take the time from a ``Clock`` passed in, so that tests and replay
choose the time. Instants are seconds as given by ``time.monotonic``.
"""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns the seconds since an arbitrary fixed point."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Returns the operating system's monotonic time in seconds."""
        return time.monotonic()


class EventClock(Clock):
    """Clock that stands still while an event is handled.

    Args:
        source: Clock that ``tick`` reads.
    """

    def __init__(self, source: Clock):
        self._source = source
        self._now_seconds = source.monotonic()

    def monotonic(self) -> float:
        """Returns the instant of the last tick, in seconds."""
        return self._now_seconds

    def tick(self) -> None:
        """Moves to the source's present instant."""
        self._now_seconds = self._source.monotonic()


class ManualClock(Clock):
    """Clock that moves only when told to.

    Attributes:
        now_seconds: The instant returned by ``monotonic``.
    """

    def __init__(self, now_seconds: float = 0.0):
        self.now_seconds = now_seconds

    def monotonic(self) -> float:
        """Returns the instant set last, in seconds."""
        return self.now_seconds

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by ``seconds``."""
        self.now_seconds += seconds
