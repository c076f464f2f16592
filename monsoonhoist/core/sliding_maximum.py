"""Maximum of a number over a sliding time window."""

import collections

from monsoonhoist.core import clock


class SlidingMaximum:
    """Maximum of the numbers added within the last ``window_seconds``.

    Args:
        time_source: The clock.
        window_seconds: Length of the window.
    """

    def __init__(self, time_source: clock.Clock, window_seconds: float):
        self._clock = time_source
        self._window_seconds = window_seconds
        # Pairs of time and number in the order of time, with strictly decreasing numbers: a
        # number that is not larger than a later one can never be the maximum.
        self._samples: collections.deque[tuple[float, int]] = collections.deque()

    def add(self, number: int) -> int:
        """Adds a number; returns the maximum of the window."""
        now = self._clock.monotonic()
        while self._samples and self._samples[-1][1] <= number:
            self._samples.pop()
        self._samples.append((now, number))
        while now - self._samples[0][0] > self._window_seconds:
            self._samples.popleft()
        return self._samples[0][1]
