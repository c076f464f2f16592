"""Timers of a kernel, which run without a real clock or an event loop."""

import heapq
import itertools
from collections.abc import Callable, Iterator

from monsoonhoist.protocol import events

Action = Callable[[list[events.Command]], None]


class TimerQueue:
    """Scheduled actions, ordered by due time in monotonic seconds and then by insertion."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Action]] = []
        self._sequence = itertools.count()

    def schedule(self, due_at: float, action: Action) -> None:
        """Schedules an action.

        Args:
            due_at: When to run the action, in monotonic seconds.
            action: Called with the list to which it appends its commands.
        """
        heapq.heappush(self._heap, (due_at, next(self._sequence), action))

    def next_due(self) -> float | None:
        """Returns when the next action is due, in monotonic seconds, or None."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Iterator[Action]:
        """Removes and yields the due actions, including those scheduled during iteration."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]
