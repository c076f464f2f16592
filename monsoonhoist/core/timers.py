"""Timers of a kernel, which run without a real clock or an event loop."""

import heapq
import itertools
from collections.abc import Callable, Iterator

from monsoonhoist.core import events

Action = Callable[[list[events.Command]], None]


class TimerQueue:
    """Scheduled actions, ordered by due time in monotonic seconds and then by insertion."""

    def __init__(self) -> None:
        self._planned: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()

    def schedule(self, instant: float, action: Action) -> None:
        """Schedules an action, which is called with the list to append its commands to."""
        heapq.heappush(self._planned, (instant, next(self._numbers), action))

    def next_due(self) -> float | None:
        """Returns when the next action is due, in monotonic seconds, or None."""
        return self._planned[0][0] if self._planned else None

    def pop_due(self, now: float) -> Iterator[Action]:
        """Removes and yields the due actions, including those scheduled during iteration."""
        while self._planned and self._planned[0][0] <= now:
            yield heapq.heappop(self._planned)[2]
