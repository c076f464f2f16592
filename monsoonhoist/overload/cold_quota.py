"""Quotas for calls to cold servers, from all instances together.

Load: the servers of a zone become cold at one time, and a cold server that receives more than a
stated number of requests in any second crashes. All instances that may call it share that number
without a message for each request, while instances start, stop and are cut off.

The number is divided among all instances known within a time, whether they can be reached or not.
Where there are fewer requests than instances, those with the greatest rendezvous weights for the
server get one each. The owner of a shard uses the quotas of all members of its cell, so that cells
with different members never use a quota twice.
"""

import collections
import heapq
import math
from collections.abc import Collection, Sequence

import msgspec

from monsoonhoist.core import data, hashing

# Window in which an instance sends at most its quota. Longer than the second in which the server
# counts, since requests that take different times to arrive may come closer together.
WINDOW_SECONDS = 1.2
# Time for which a larger quota is not used yet: another instance may still use the difference until
# it has the same view, and its last calls must leave the window.
RAISE_DELAY_SECONDS = 2.5


class ColdOptions(msgspec.Struct, frozen=True):
    """Requests that a cold server can serve in any second without a crash.

    Attributes:
        excess: Multiple of the stated rate.
        slack: Requests in addition.
    """

    excess: float = 1.0
    slack: float = 0.0

    def requests_max(self, rate: float) -> int:
        """Returns the number of requests that all instances may send within a second."""
        return math.floor(rate * self.excess + self.slack)


def divide(
    server: data.ServerId,
    requests: int,
    known: Sequence[data.InstanceId],
    members: Collection[data.InstanceId],
) -> int:
    """Returns the part of some instances in the requests that a server may receive.

    Args:
        server: The server.
        requests: Requests that all instances may send within a second.
        known: All instances that may send some.
        members: The instances whose part is returned.
    """
    each, remainder = divmod(requests, max(1, len(known)))
    counted = set(members).intersection(known)
    part = each * len(counted)
    if remainder and counted:
        preferred = heapq.nlargest(
            remainder, known, key=lambda instance: hashing.stable_hash("cold", server, instance)
        )
        part += sum(instance in counted for instance in preferred)
    return part


class Quota:
    """Calls that this instance may send to one cold server.

    Attributes:
        cold_until: When the server stops being cold, in monotonic seconds.
        count: Calls that may be sent within ``WINDOW_SECONDS``.
    """

    def __init__(self, cold_until: float):
        self.cold_until = cold_until
        self.count = 0
        self._larger_count = 0
        self._larger_from = math.inf
        self._sent_at: collections.deque[float] = collections.deque()

    def is_cold(self, now: float) -> bool:
        """Returns whether the server is still cold, so that the quota applies."""
        return now < self.cold_until

    def set_count(self, count: int, now: float, larger_from: float) -> None:
        """Sets the number of calls; a larger one is used from a later time on.

        Args:
            count: The new number.
            now: The time, in monotonic seconds.
            larger_from: When a number larger than the present one may be used.
        """
        self._apply_larger(now)
        self.count = min(self.count, count)
        self._larger_count = count
        self._larger_from = larger_from if count > self.count else math.inf
        self._apply_larger(now)

    def may_call(self, now: float) -> bool:
        """Returns whether one more call may be sent now."""
        if now >= self.cold_until:
            return True
        self._apply_larger(now)
        self._forget(now)
        return len(self._sent_at) < self.count

    def record_call(self, now: float) -> None:
        """Counts a call that is sent."""
        if now < self.cold_until:
            self._sent_at.append(now)

    def next_call_at(self, now: float) -> float:
        """Returns when the next call may be sent, in monotonic seconds."""
        first_at = min(self.call_times(now), default=math.inf)
        return min(self.cold_until, self._larger_from, first_at)

    def call_times(self, now: float) -> list[float]:
        """Returns when the next calls may be sent, one time for each call of the quota."""
        self.may_call(now)
        later = [sent_at + WINDOW_SECONDS for sent_at in self._sent_at]
        free = self.count - len(later)
        return [now] * free + later if free >= 0 else later[-free:]

    def _apply_larger(self, now: float) -> None:
        if now >= self._larger_from:
            self.count = self._larger_count
            self._larger_from = math.inf

    def _forget(self, now: float) -> None:
        while self._sent_at and self._sent_at[0] + WINDOW_SECONDS <= now:
            self._sent_at.popleft()
