"""A number that rises at once and falls late."""

import collections

from monsoonhoist.core import clock


class SlidingMaximum:
    """The largest of the numbers noted within a time.

    Args:
        time_source: The clock.
        hold_seconds: How long a number counts.
    """

    def __init__(self, time_source: clock.Clock, window_seconds: float):
        self._clock = time_source
        self._window_seconds = window_seconds
        # Each entry is larger than those after it, which were noted later.
        self._samples: collections.deque[tuple[float, int]] = collections.deque()

    def add(self, number: int) -> int:
        """Takes note of a number; returns the largest that counts."""
        now = self._clock.monotonic()
        while self._samples and self._samples[-1][1] <= number:
            self._samples.pop()
        self._samples.append((now, number))
        while now - self._samples[0][0] > self._window_seconds:
            self._samples.popleft()
        return self._samples[0][1]
