"""Schedule of the comparisons by which an instance finds table values that it has missed.

Values spread by announcements; comparisons with a peer's digests find those that an instance
missed, for example while it was partitioned. While many values change one after another, as when
the servers of a repartitioned index register, the tables of two instances differ most of the time
although none is missing. Comparing them at each heartbeat then sends lists of all revisions
between all neighbours, which can fill their links. Comparisons are therefore rarer while values
change.
"""

import math
from collections.abc import Iterable

from monsoonhoist.core import clock, data

# Intervals between two comparisons with the same peer, and between two requests for the revisions
# of the same bucket, while the values do not change.
QUIET_INTERVAL_SECONDS = 0.5
# Interval between two comparisons with any peers, and between two requests for the same bucket,
# while values change.
BUSY_INTERVAL_SECONDS = 2.0
# How long after a change the values count as changing; longer than a value needs to reach all
# instances.
CHANGE_SECONDS = 1.0


class ReconciliationSchedule:
    """Decides when an instance compares its tables with those of a peer.

    Args:
        time_source: The clock.
    """

    def __init__(self, time_source: clock.Clock):
        self._clock = time_source
        self._changed_at = -math.inf
        self._compared_at = -math.inf
        self._replied_at_by_peer: dict[data.InstanceId, float] = {}
        self._compared_at_by_peer: dict[data.InstanceId, float] = {}
        self._requested_at_by_bucket: dict[int, float] = {}

    def record_change(self) -> None:
        """Records that values have come into force."""
        self._changed_at = self._clock.monotonic()

    def try_compare(self, peer: data.InstanceId) -> bool:
        """Returns whether the digests may be sent to a peer now, and records that they are."""
        now = self._clock.monotonic()
        if self._is_changing(now):
            is_due = now - self._compared_at >= BUSY_INTERVAL_SECONDS
        else:
            compared_at = self._compared_at_by_peer.get(peer, -math.inf)
            is_due = now - compared_at >= QUIET_INTERVAL_SECONDS
        if is_due:
            self._compared_at = now
            self._compared_at_by_peer[peer] = now
        return is_due

    def try_reply(self, peer: data.InstanceId) -> bool:
        """Returns whether the digests may be sent in reply to those of a peer, and records it.

        The peer may have missed values, so that comparisons with others do not delay the reply.
        """
        now = self._clock.monotonic()
        is_due = now - self._replied_at_by_peer.get(peer, -math.inf) >= self._interval(now)
        if is_due:
            self._replied_at_by_peer[peer] = now
        return is_due

    def take_buckets(self, differing: Iterable[int]) -> tuple[int, ...]:
        """Returns the buckets whose revisions may be requested now, and records the requests.

        Args:
            differing: Buckets whose digests differ from those of a peer.
        """
        now = self._clock.monotonic()
        interval = self._interval(now)
        taken = tuple(
            bucket
            for bucket in differing
            if now - self._requested_at_by_bucket.get(bucket, -math.inf) >= interval
        )
        for bucket in taken:
            self._requested_at_by_bucket[bucket] = now
        return taken

    def _interval(self, now: float) -> float:
        return BUSY_INTERVAL_SECONDS if self._is_changing(now) else QUIET_INTERVAL_SECONDS

    def _is_changing(self, now: float) -> bool:
        return now - self._changed_at < CHANGE_SECONDS
