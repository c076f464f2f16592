"""Policies for the order in which an owner serves queued sub-requests."""

import abc
import heapq
import itertools
import math
from typing import Generic, TypeVar

from monsoonhoist.core import data
from monsoonhoist.policy import registry

ItemT = TypeVar("ItemT")

# Share of the removals from a queue that each rank is guaranteed while it has items queued.
GUARANTEED_SHARE_BY_RANK = {
    data.Rank.URGENT: 0.20,
    data.Rank.NORMAL: 0.10,
    data.Rank.BACKGROUND: 0.05,
}


class Order(abc.ABC, Generic[ItemT]):
    """Queue of the sub-requests for one shard."""

    @abc.abstractmethod
    def push(
        self, rank: data.Rank, deadline: float, item: ItemT, start_by: float = math.inf
    ) -> None:
        """Adds an item.

        Args:
            rank: Rank of the item.
            deadline: Deadline, in monotonic seconds.
            item: The item.
            start_by: When the item must be removed to meet its goal, in monotonic seconds.
        """

    @abc.abstractmethod
    def pop(self, now: float = -math.inf) -> ItemT | None:
        """Removes and returns the next item, or returns None if the queue is empty.

        Args:
            now: The time, in monotonic seconds; by default, no item counts as late.
        """


@registry.register(registry.Kind.ORDER, "ranked")
class RankedOrder(Order[ItemT]):
    """Serves the most urgent rank first and guarantees each rank a minimum share.

    Each removal adds the guaranteed share of every rank with queued items to the rank's credit; a
    rank whose credit reaches one is served first. Within a rank, the earliest deadline is served
    first. All owners use the same order, so that the same queries succeed at all shards (cf. Zhou
    et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018).
    """

    def __init__(self) -> None:
        self._sequence = itertools.count()
        self._heap_by_rank: dict[data.Rank, list[tuple[float, int, ItemT]]] = {
            rank: [] for rank in data.RANK_ORDER
        }
        self._credit_by_rank = dict.fromkeys(data.RANK_ORDER, 0.0)

    def push(
        self, rank: data.Rank, deadline: float, item: ItemT, start_by: float = math.inf
    ) -> None:
        """Adds an item to its rank's heap; ``start_by`` is not used."""
        heap_item = (deadline, next(self._sequence), item)
        heapq.heappush(self._heap_by_rank[rank], heap_item)

    def pop(self, now: float = -math.inf) -> ItemT | None:
        """Removes and returns the next item: by credit, then by rank and deadline."""
        rank = self._choose_rank([rank for rank in data.RANK_ORDER if self._heap_by_rank[rank]])
        return None if rank is None else heapq.heappop(self._heap_by_rank[rank])[2]

    def _choose_rank(self, queued_ranks: list[data.Rank]) -> data.Rank | None:
        """Returns the rank to serve next, of those with queued items, and updates the credits."""
        if not queued_ranks:
            return None
        # A credit of at most 2 limits how many removals in a row a rank can save up.
        for rank in queued_ranks:
            self._credit_by_rank[rank] = min(
                2.0, self._credit_by_rank[rank] + GUARANTEED_SHARE_BY_RANK[rank]
            )
        credited_ranks = [rank for rank in queued_ranks if self._credit_by_rank[rank] >= 1.0]
        rank = credited_ranks[0] if credited_ranks else queued_ranks[0]
        self._credit_by_rank[rank] = max(0.0, self._credit_by_rank[rank] - 1.0)
        return rank


@registry.register(registry.Kind.ORDER, "arrival")
class ArrivalOrder(Order[ItemT]):
    """Serves in order of arrival; a baseline for measurements."""

    def __init__(self) -> None:
        self._items: list[ItemT] = []

    def push(
        self, rank: data.Rank, deadline: float, item: ItemT, start_by: float = math.inf
    ) -> None:
        """Appends an item."""
        self._items.append(item)

    def pop(self, now: float = -math.inf) -> ItemT | None:
        """Removes and returns the oldest item."""
        return self._items.pop(0) if self._items else None
