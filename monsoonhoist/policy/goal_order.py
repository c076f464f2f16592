"""Queue order by rank, then by the time left to the latency goal.

Load: urgent requests share the queues of an owner with normal ones whose goals are several times as
long. Their deadlines are so much later than their goals that they do not show which part is needed
first, and after a pause of a server the queue holds late parts beside parts that are not late.
"""

import heapq
import math
from typing import TypeVar

from monsoonhoist.core import data
from monsoonhoist.policy import order, registry

ItemT = TypeVar("ItemT")

# Share of a rank's removals that is guaranteed to late items while the rank has both kinds. A late
# answer still has some value to its caller, so late items must not starve.
LATE_SHARE = 0.25


@registry.register(registry.Kind.ORDER, "goal")
class GoalOrder(order.RankedOrder[ItemT]):
    """Serves ranks as ``RankedOrder`` does; within a rank, items that can meet their goal first.

    Items that can meet their goal are served by the latest time at which they can start to do so,
    the others, which are late, by their deadline. Without this distinction, an overloaded queue in
    order of goals would start each item just after it has become late.
    """

    def __init__(self) -> None:
        super().__init__()
        self._late_heap_by_rank: dict[data.Rank, list[tuple[float, int, float, ItemT]]] = {
            rank: [] for rank in data.RANK_ORDER
        }
        self._late_credit_by_rank = dict.fromkeys(data.RANK_ORDER, 0.0)

    def push(
        self, rank: data.Rank, deadline: float, item: ItemT, start_by: float = math.inf
    ) -> None:
        """Adds an item to the heap of its rank's items that can meet their goal."""
        heap_item = (min(start_by, deadline), next(self._sequence), deadline, item)
        heapq.heappush(self._heap_by_rank[rank], heap_item)

    def pop(self, now: float = -math.inf) -> ItemT | None:
        """Removes and returns the next item, or returns None if the queue is empty."""
        queued_ranks = []
        for rank in data.RANK_ORDER:
            heap = self._heap_by_rank[rank]
            if heap and heap[0][0] < now:
                self._move_late(rank, now)
            if heap or self._late_heap_by_rank[rank]:
                queued_ranks.append(rank)
        rank = self._choose_rank(queued_ranks)
        return None if rank is None else heapq.heappop(self._choose_heap(rank))[3]

    def _move_late(self, rank: data.Rank, now: float) -> None:
        """Moves the items that can no longer meet their goal to the late heap."""
        heap = self._heap_by_rank[rank]
        while heap and heap[0][0] < now:
            _, sequence, deadline, item = heapq.heappop(heap)
            heapq.heappush(self._late_heap_by_rank[rank], (deadline, sequence, deadline, item))

    def _choose_heap(self, rank: data.Rank) -> list[tuple[float, int, float, ItemT]]:
        """Returns the heap of a rank from which the next item is removed."""
        timely, late = self._heap_by_rank[rank], self._late_heap_by_rank[rank]
        if not timely or not late:
            return timely or late
        self._late_credit_by_rank[rank] += LATE_SHARE
        if self._late_credit_by_rank[rank] < 1.0:
            return timely
        self._late_credit_by_rank[rank] -= 1.0
        return late
