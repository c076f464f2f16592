"""Actions that a kernel has planned for later instants."""

import heapq
import itertools
from collections.abc import Callable, Iterator

from monsoonhoist.core import events

Action = Callable[[list[events.Command]], None]


class TimerQueue:
    """Planned actions in the order of their instants, in monotonic seconds."""

    def __init__(self) -> None:
        self._planned: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()

    def schedule(self, instant: float, action: Action) -> None:
        """Plans an action; it receives the list that takes its commands."""
        heapq.heappush(self._planned, (instant, next(self._numbers), action))

    def next_due(self) -> float | None:
        """Returns the instant of the next action, or None."""
        return self._planned[0][0] if self._planned else None

    def pop_due(self, now: float) -> Iterator[Action]:
        """Yields the actions whose instant has come, those planned meanwhile included."""
        while self._planned and self._planned[0][0] <= now:
            yield heapq.heappop(self._planned)[2]
