"""Selection of the instances that watch the configuration service.

A few instances watch the service; the others receive changes from them. Each instance records
when the service was last read successfully, by itself or by a peer that reported its read with
a heartbeat. An instance for which the latest read by a peer is too old starts to watch as well.
The permitted age increases with the instance's position in the order of watchers, so that an
outage of the service does not make all instances watch it at once.

A report lacks the time that it has travelled, so that a read seems more recent wherever its report
arrives. Reads are therefore numbered: of several reports of the same read the oldest age counts,
and one that many instances have passed on does not make the read more recent.
"""

import math

import msgspec

from monsoonhoist.core import data
from monsoonhoist.protocol import messages

MS_PER_SECOND = 1000
# Age at which the latest read of an instance no longer matters to any other.
FORGOTTEN_READ_SECONDS = 60.0


class _Read(msgspec.Struct):
    """Latest known read of the service by an instance.

    Attributes:
        number: Number of the read; 0 if the instance does not number its reads.
        read_at: Time of the read, in monotonic seconds.
    """

    number: int
    read_at: float


class WatcherSelection:
    """Decides whether this instance should watch the configuration service.

    Args:
        instance: This instance.
        watchers: Number of instances that always watch.
        stale_seconds: Age of the latest read by a peer above which the first instance that does
            not always watch starts to watch.
        step_seconds: Increase of that age with each further position in the order.
        incarnation: Start of this process; its reads have larger numbers than those before it.
    """

    def __init__(
        self,
        instance: data.InstanceId,
        watchers: int,
        stale_seconds: float,
        step_seconds: float,
        incarnation: int = 0,
    ):
        self._instance = instance
        self._watchers = watchers
        self._stale_seconds = stale_seconds
        self._step_seconds = step_seconds
        self._own_read = _Read(incarnation, -math.inf)
        self._read_by_peer: dict[data.InstanceId, _Read] = {}
        self._first_checked_at: float | None = None

    def record_read(self, now: float) -> None:
        """Records a successful read of the service by this instance.

        Args:
            now: The time, in monotonic seconds.
        """
        self._own_read = _Read(self._own_read.number + 1, now)

    def record_report(self, report: messages.ConfigReadReport, now: float) -> None:
        """Records a read that a peer reported, unless this instance made it or knows a later one.

        Args:
            report: The latest read that the peer knows of.
            now: The time, in monotonic seconds.
        """
        if report.reader == self._instance:
            return
        read_at = now - report.age_ms / MS_PER_SECOND
        known = self._read_by_peer.get(report.reader)
        if known is None or report.number > known.number:
            self._forget_old_reads(now)
            self._read_by_peer[report.reader] = _Read(report.number, read_at)
        elif not report.number:
            known.read_at = max(known.read_at, read_at)
        elif report.number == known.number:
            known.read_at = min(known.read_at, read_at)

    def _forget_old_reads(self, now: float) -> None:
        for reader, read in list(self._read_by_peer.items()):
            if now - read.read_at > FORGOTTEN_READ_SECONDS:
                del self._read_by_peer[reader]

    def latest_report(self, now: float) -> messages.ConfigReadReport | None:
        """Returns a report of the latest known read by any instance, or None.

        Args:
            now: The time, in monotonic seconds.
        """
        read_by_reader = {self._instance: self._own_read, **self._read_by_peer}
        reader = max(read_by_reader, key=lambda each: read_by_reader[each].read_at)
        read = read_by_reader[reader]
        if math.isinf(read.read_at):
            return None
        age_ms = int((now - read.read_at) * MS_PER_SECOND)
        return messages.ConfigReadReport(reader, age_ms, read.number)

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
        peer_reads = (read.read_at for read in self._read_by_peer.values())
        read_at = max((self._first_checked_at, *peer_reads))
        max_age_seconds = self._stale_seconds + (position - self._watchers) * self._step_seconds
        return now - read_at > max_age_seconds
