"""Selection of the instances that watch the configuration service.

A few instances watch the service; the others receive changes from them. Each instance records
when the service was last read successfully, by itself or by a peer that reported its read with
a heartbeat. An instance for which the latest read by a peer is too old starts to watch as well.
The permitted age increases with the instance's position in the order of watchers, so that an
outage of the service does not make all instances watch it at once.
"""

import math

from monsoonhoist.core import data
from monsoonhoist.protocol import messages

MS_PER_SECOND = 1000


class WatcherSelection:
    """Decides whether this instance should watch the configuration service.

    Args:
        instance: This instance.
        watchers: Number of instances that always watch.
        stale_seconds: Age of the latest read by a peer above which the first instance that does
            not always watch starts to watch.
        step_seconds: Increase of that age with each further position in the order.
    """

    def __init__(
        self, instance: data.InstanceId, watchers: int, stale_seconds: float, step_seconds: float
    ):
        self._instance = instance
        self._watchers = watchers
        self._stale_seconds = stale_seconds
        self._step_seconds = step_seconds
        self._read_at = -math.inf
        self._peer_read_at = -math.inf
        self._peer_reader = instance
        self._first_checked_at: float | None = None

    def record_read(self, now: float) -> None:
        """Records a successful read of the service by this instance.

        Args:
            now: The time, in monotonic seconds.
        """
        self._read_at = now

    def record_report(self, report: messages.ConfigReadReport, now: float) -> None:
        """Records a read that a peer reported, unless this instance made it or it is not newer.

        Args:
            report: The latest read that the peer knows of.
            now: The time, in monotonic seconds.
        """
        read_at = now - report.age_ms / MS_PER_SECOND
        if report.reader != self._instance and read_at > self._peer_read_at:
            self._peer_read_at = read_at
            self._peer_reader = report.reader

    def latest_report(self, now: float) -> messages.ConfigReadReport | None:
        """Returns a report of the latest known read by any instance, or None.

        Args:
            now: The time, in monotonic seconds.
        """
        read_at = max(self._read_at, self._peer_read_at)
        if math.isinf(read_at):
            return None
        reader = self._instance if read_at == self._read_at else self._peer_reader
        return messages.ConfigReadReport(reader, int((now - read_at) * MS_PER_SECOND))

    def should_watch(self, position: int, now: float) -> bool:
        """Returns whether this instance should watch.

        Reads by this instance itself do not count, since it would otherwise stop watching after
        its first read. The age counts from the latest read by a peer, or from the first call of
        this method with a position after the instances that always watch, whichever is later.

        Args:
            position: Position in the order of watchers among the live instances, from 0.
            now: The time, in monotonic seconds.
        """
        if position < self._watchers:
            return True
        if self._first_checked_at is None:
            self._first_checked_at = now
        read_at = max(self._peer_read_at, self._first_checked_at)
        max_age_seconds = self._stale_seconds + (position - self._watchers) * self._step_seconds
        return now - read_at > max_age_seconds
