"""Policies that admit or refuse queries at the entry."""

import abc
import math

from monsoonhoist.core import data
from monsoonhoist.policy import order, registry


class Admission(abc.ABC):
    """Admission control for the queries to one pool."""

    @abc.abstractmethod
    def admit(self, rank: data.Rank) -> bool:
        """Returns whether a query may start, and counts it as active if so."""

    @abc.abstractmethod
    def finish(self, rank: data.Rank, pressure: float) -> None:
        """Records the end of an admitted query.

        Args:
            rank: Rank of the query.
            pressure: Longest time that a sub-request of the query was queued at an owner, as a
                share of the route's deadline; 1 if one failed because of overload.
        """

    @abc.abstractmethod
    def places(self, rank: data.Rank) -> tuple[float, float]:
        """Returns the number of a rank's queries in progress, and how many there may be now."""

    @abc.abstractmethod
    def record_refusal(self) -> None:
        """Records that a query was refused before this policy was asked."""


@registry.register(registry.Kind.ADMISSION, "window")
class WindowAdmission(Admission):
    """Limits the number of queries in flight by a window that adapts to the owners' queues.

    The window shrinks in proportion to the excess if sub-requests wait in the queues for longer
    than a share of the deadline, and grows in small steps if it has refused queries (cf. Cho et
    al., "Overload Control for us-scale RPCs with Breakwater", OSDI 2020). Each rank has a floor, a
    share of the window that other ranks cannot use. It is twice the rank's guaranteed share of
    removals from the owners' queues, so that the queues always contain sub-requests of the rank.
    """

    # Initial value and bounds of the window, in queries.
    window_start = 32.0
    window_min = 1.0
    window_max = 2048.0
    # Share of the deadline that sub-requests may wait before the window shrinks.
    pressure_target = 0.25
    # Share of the relative excess by which the window shrinks.
    shrink_weight = 0.5
    # The floor of a rank, as a share of the window, is this multiple of the rank's guaranteed share
    # of removals from the owners' queues. The floor is at least ``floor_min`` queries.
    floor_multiple = 2.0
    floor_min = 2.0

    def __init__(self) -> None:
        self._window = self.window_start
        self._active_by_rank = dict.fromkeys(data.RANK_ORDER, 0)
        self._queries_until_shrink = 0
        self._has_refused = False

    def admit(self, rank: data.Rank) -> bool:
        """Admits a query within its rank's floor or within the unreserved part of the window."""
        if not self._fits(rank):
            self._has_refused = True
            return False
        self._active_by_rank[rank] += 1
        return True

    def finish(self, rank: data.Rank, pressure: float) -> None:
        """Shrinks the window, at most once per window of queries, or lets it grow."""
        self._active_by_rank[rank] -= 1
        self._queries_until_shrink -= 1
        if pressure > self.pressure_target:
            if self._queries_until_shrink <= 0:
                excess = (pressure - self.pressure_target) / pressure
                factor = 1.0 - self.shrink_weight * excess
                self._window = max(self.window_min, self._window * factor)
                self._queries_until_shrink = int(self._window)
        elif self._has_refused:
            self._has_refused = False
            self._window = min(self.window_max, self._window + 1.0 / self._window)

    def places(self, rank: data.Rank) -> tuple[float, float]:
        """Returns a rank's active queries, and its floor or the unreserved part of the window."""
        limit = max(self._floor(rank), self._window - self._reserved(rank))
        return float(self._active_by_rank[rank]), limit

    def record_refusal(self) -> None:
        """Lets the window grow as after a refusal of its own."""
        self._has_refused = True

    def _fits(self, rank: data.Rank) -> bool:
        if self._active_by_rank[rank] < self._floor(rank):
            return True
        return self._active_by_rank[rank] + self._reserved(rank) < self._window

    def _reserved(self, rank: data.Rank) -> float:
        """Returns the part of the window that other ranks use or that is kept for them."""
        return sum(
            max(self._active_by_rank[other], self._floor(other))
            for other in data.RANK_ORDER
            if other is not rank
        )

    def _floor(self, rank: data.Rank) -> float:
        return max(
            self.floor_min,
            self._window * self.floor_multiple * order.GUARANTEED_SHARE_BY_RANK[rank],
        )


@registry.register(registry.Kind.ADMISSION, "all")
class AllAdmission(Admission):
    """Admits every query; a baseline for measurements."""

    def admit(self, rank: data.Rank) -> bool:
        """Returns True."""
        return True

    def finish(self, rank: data.Rank, pressure: float) -> None:
        """Does nothing."""

    def places(self, rank: data.Rank) -> tuple[float, float]:
        """Returns that there may be any number of queries."""
        return 0.0, math.inf

    def record_refusal(self) -> None:
        """Does nothing."""
