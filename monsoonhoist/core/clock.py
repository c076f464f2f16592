"""Clock interface and its implementations.

Code that depends on the time receives a ``Clock``, so that tests and the replay of traces can
set the time. Times are in seconds, as returned by ``time.monotonic``.
"""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns the time in seconds since an arbitrary fixed point."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Returns the operating system's monotonic time in seconds."""
        return time.monotonic()


class EventClock(Clock):
    """Clock that returns the same time throughout the handling of an event.

    Args:
        source: Clock that ``tick`` reads.
    """

    def __init__(self, source: Clock):
        self._source = source
        self._now_seconds = source.monotonic()

    def monotonic(self) -> float:
        """Returns the source's time at the last ``tick``, in seconds."""
        return self._now_seconds

    def tick(self) -> None:
        """Sets the clock to the source's current time."""
        self._now_seconds = self._source.monotonic()


class ManualClock(Clock):
    """Clock that is set explicitly, for tests and replay.

    Attributes:
        now_seconds: The time returned by ``monotonic``.
    """

    def __init__(self, now_seconds: float = 0.0):
        self.now_seconds = now_seconds

    def monotonic(self) -> float:
        """Returns the time that was last set, in seconds."""
        return self.now_seconds

    def advance(self, seconds: float) -> None:
        """Advances the clock by ``seconds``."""
        self.now_seconds += seconds
