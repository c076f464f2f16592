"""A number that rises at once and falls late."""

import collections

from monsoonhoist.core import clock


class HeldMaximum:
    """The largest of the numbers noted within a time.

    Args:
        time_source: The clock.
        hold_seconds: How long a number counts.
    """

    def __init__(self, time_source: clock.Clock, hold_seconds: float):
        self._clock = time_source
        self._hold_seconds = hold_seconds
        # Each entry is larger than those after it, which were noted later.
        self._noted: collections.deque[tuple[float, int]] = collections.deque()

    def note(self, number: int) -> int:
        """Takes note of a number; returns the largest that counts."""
        now = self._clock.monotonic()
        while self._noted and self._noted[-1][1] <= number:
            self._noted.pop()
        self._noted.append((now, number))
        while now - self._noted[0][0] > self._hold_seconds:
            self._noted.popleft()
        return self._noted[0][1]
