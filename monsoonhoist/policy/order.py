"""Policies that choose which waiting sub-request is sent next."""

import abc
import heapq
import itertools
from typing import Generic, TypeVar

from monsoonhoist.core import data
from monsoonhoist.policy import registry

ItemT = TypeVar("ItemT")

FLOOR_BY_RANK = {data.Rank.URGENT: 0.20, data.Rank.NORMAL: 0.10, data.Rank.BACKGROUND: 0.05}


class Order(abc.ABC, Generic[ItemT]):
    """Queue of one shard's waiting sub-requests."""

    @abc.abstractmethod
    def push(self, rank: data.Rank, deadline: float, item: ItemT) -> None:
        """Adds an item with its rank and its deadline in monotonic seconds."""

    @abc.abstractmethod
    def pop(self) -> ItemT | None:
        """Removes and returns the next item, or None."""


@registry.register(registry.Kind.ORDER, "ranked")
class RankedOrder(Order[ItemT]):
    """Serves the most urgent rank first and keeps a floor for each rank.

    Each removal credits every waiting rank with its floor; a rank with a whole credit
    goes first. Within a rank the earliest deadline goes first. All owners order alike,
    so the same queries win at all shards (cf. Zhou et al., "Overload Control for Scaling
    WeChat Microservices", SoCC 2018).
    """

    def __init__(self) -> None:
        self._sequence = itertools.count()
        self._heap_by_rank: dict[data.Rank, list[tuple[float, int, ItemT]]] = {
            rank: [] for rank in data.RANK_ORDER
        }
        self._credit_by_rank = dict.fromkeys(data.RANK_ORDER, 0.0)

    def push(self, rank: data.Rank, deadline: float, item: ItemT) -> None:
        """Adds an item to its rank's heap."""
        entry = (deadline, next(self._sequence), item)
        heapq.heappush(self._heap_by_rank[rank], entry)

    def pop(self) -> ItemT | None:
        """Returns the next item: floors first, then by rank and deadline."""
        waiting = [rank for rank in data.RANK_ORDER if self._heap_by_rank[rank]]
        if not waiting:
            return None
        for rank in waiting:
            self._credit_by_rank[rank] = min(2.0, self._credit_by_rank[rank] + FLOOR_BY_RANK[rank])
        owed = [rank for rank in waiting if self._credit_by_rank[rank] >= 1.0]
        rank = owed[0] if owed else waiting[0]
        self._credit_by_rank[rank] = max(0.0, self._credit_by_rank[rank] - 1.0)
        return heapq.heappop(self._heap_by_rank[rank])[2]


@registry.register(registry.Kind.ORDER, "arrival")
class ArrivalOrder(Order[ItemT]):
    """Serves in order of arrival; the baseline for measurements."""

    def __init__(self) -> None:
        self._items: list[ItemT] = []

    def push(self, rank: data.Rank, deadline: float, item: ItemT) -> None:
        """Adds an item at the end."""
        self._items.append(item)

    def pop(self) -> ItemT | None:
        """Returns the oldest item."""
        return self._items.pop(0) if self._items else None
