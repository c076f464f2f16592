"""What an instance believes of the configuration service, for its status, gauges and log.

The latest known answer of the service is one that this instance received, or one that a peer
reported. Only of its own answers does the instance know the revision.
"""

import asyncio
import enum
import logging

import msgspec

from monsoonhoist import metrics, settings
from monsoonhoist.core import clock, data
from monsoonhoist.fleet import watcher_selection
from monsoonhoist.node import table_reader
from monsoonhoist.protocol import messages
from monsoonhoist.tables import eras, store

MS_PER_SECOND = 1000
# Interval at which the age of the latest answer is checked while it is old.
CHECK_INTERVAL_SECONDS = 0.25
# How long an answer must have been recent again before the log says so.
RECOVERY_SECONDS = 5.0

_log = logging.getLogger(__name__)


class Contact(enum.Enum):
    """Whether the latest known answer of the service is recent.

    Attributes:
        UNKNOWN: No answer is known.
        RECENT: It is recent.
        OLD: It is so old that changes of the service may be missing here.
    """

    UNKNOWN = "unknown"
    RECENT = "recent"
    OLD = "old"


class ServiceStatus(msgspec.Struct, frozen=True):
    """What an instance believes of the configuration service.

    Attributes:
        contact: Whether the latest known answer is recent.
        reader: Instance that received it; None if no answer is known.
        age_ms: Its age in milliseconds; None if no answer is known.
        watching: Whether this instance watches the service. All read it once at their start.
        revision: Revision that the latest answer to this instance itself stated; 0 for none.
        revision_age_ms: Age of that answer in milliseconds; None if there was none.
        era: Newest known era of the service; -1 if it states none.
        settled: Whether the time in which lost changes are expected to be repeated is over.
        listed_revision: Revision up to which this instance has read all keys; 0 if it has not.
        listed_era: Era of that revision.
    """

    contact: Contact = Contact.UNKNOWN
    reader: data.InstanceId | None = None
    age_ms: int | None = None
    watching: bool = False
    revision: int = 0
    revision_age_ms: int | None = None
    era: int = eras.UNSTATED
    settled: bool = True
    listed_revision: int = 0
    listed_era: int = eras.UNSTATED


class ServiceBelief(table_reader.ReadObserver):
    """Records the answers of the configuration service that an instance knows of.

    Args:
        selection: Knows the latest answers, by the time at which they were received.
        time_source: The clock.
        counters: Metrics of this instance.
        table_store: Knows the eras of the service.
        old_seconds: Age above which the latest answer is old.
    """

    def __init__(
        self,
        selection: watcher_selection.WatcherSelection,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        table_store: store.TableStore,
        old_seconds: float,
    ):
        self.selection = selection
        self._clock = time_source
        self._counters = counters
        self._store = table_store
        self._old_seconds = old_seconds
        self._is_watching = False
        self._revision = 0
        self._listing = store.Listing()
        self._revision_read_at: float | None = None
        self._contact = Contact.UNKNOWN
        self._recent_since: float | None = None
        self._task: asyncio.Task[None] | None = None
        for failure in table_reader.ReadFailure:
            counters.count_service_failure(failure.value, 0)

    def start(self) -> None:
        """Starts to check the age of the latest answer."""
        self._task = asyncio.create_task(self._run(), name="age of the service's answer")

    def stop(self) -> None:
        """Stops checking."""
        if self._task is not None:
            self._task.cancel()

    def record_read(self) -> None:
        """Records a successful read by this instance."""
        self.selection.record_read(self._clock.monotonic())

    def record_report(self, report: messages.ConfigReadReport | None) -> None:
        """Records a read that a peer reported; None if it knows of none."""
        if report is not None:
            self.selection.record_report(report, self._clock.monotonic())

    def latest_report(self) -> messages.ConfigReadReport | None:
        """Returns a report of the latest known read by any instance, or None."""
        return self.selection.latest_report(self._clock.monotonic())

    def record_reading(self, reading: table_reader.Reading) -> None:
        """Records the revision that an answer to this instance stated, and the latest list."""
        self._revision = reading.revision
        self._revision_read_at = self._clock.monotonic()
        if reading.listed_number:
            self._listing = store.Listing(reading.era, reading.listed_number)

    def record_failure(self, failure: table_reader.ReadFailure) -> None:
        """Counts a failed read by this instance."""
        self._counters.count_service_failure(failure.value)

    def record_watching(self, is_watching: bool) -> None:
        """Logs that this instance begins or stops to watch the service."""
        if is_watching == self._is_watching:
            return
        self._is_watching = is_watching
        message = "configuration service watched"
        if not is_watching:
            message = "configuration service no longer watched"
        _log.info(message, extra=self._describe_latest())

    def status(self) -> ServiceStatus:
        """Returns what this instance believes now."""
        report = self.latest_report()
        revision_age_ms = None
        if self._revision_read_at is not None:
            seconds = self._clock.monotonic() - self._revision_read_at
            revision_age_ms = int(seconds * MS_PER_SECOND)
        return ServiceStatus(
            contact=self._find_contact(report),
            reader=report.reader if report is not None else None,
            age_ms=report.age_ms if report is not None else None,
            watching=self._is_watching,
            revision=self._revision,
            revision_age_ms=revision_age_ms,
            era=self._store.eras.newest,
            settled=self._store.eras.is_settled(),
            listed_revision=self._listing.number,
            listed_era=self._listing.era,
        )

    def check_age(self) -> None:
        """Logs a change of whether the latest answer is recent.

        An answer counts as recent again only after ``RECOVERY_SECONDS``, so that one that is old
        now and then has few lines.
        """
        now = self._clock.monotonic()
        contact = self._find_contact(self.latest_report())
        if contact is not Contact.RECENT:
            self._recent_since = None
        elif self._recent_since is None:
            self._recent_since = now
        if contact is self._contact:
            return
        if contact is Contact.OLD:
            message = "latest answer of the configuration service is old"
            _log.warning(message, extra=self._describe_latest())
        elif self._contact is Contact.OLD:
            if now - self._recent_since < RECOVERY_SECONDS:
                return
            message = "latest answer of the configuration service is recent again"
            _log.info(message, extra=self._describe_latest())
        self._contact = contact

    def _find_contact(self, report: messages.ConfigReadReport | None) -> Contact:
        if report is None:
            return Contact.UNKNOWN
        is_old = report.age_ms > self._old_seconds * MS_PER_SECOND
        return Contact.OLD if is_old else Contact.RECENT

    def _describe_latest(self) -> dict[str, object]:
        """Returns the fields of a log line about the latest known answer."""
        status = self.status()
        return {
            "reader": status.reader,
            "age_ms": status.age_ms,
            "watching": status.watching,
            "revision": status.revision,
            "era": status.era,
        }

    async def _run(self) -> None:
        while True:
            self.check_age()
            await asyncio.sleep(self._seconds_to_check())

    def _seconds_to_check(self) -> float:
        """Returns the time until the latest answer may be old, or until the next check."""
        report = self.latest_report()
        if report is None or self._contact is Contact.OLD:
            return CHECK_INTERVAL_SECONDS
        seconds = self._old_seconds - report.age_ms / MS_PER_SECOND
        return max(CHECK_INTERVAL_SECONDS, seconds)


def make_belief(
    config: settings.Settings,
    time_source: clock.Clock,
    counters: metrics.Metrics,
    table_store: store.TableStore,
) -> ServiceBelief:
    """Returns what an instance with the given settings believes at its start.

    An answer is old if the next watch has not ended either by the time at which another instance
    would begin to watch.
    """
    selection = config.spread.make_watcher_selection(data.InstanceId(config.instance.name))
    old = config.spread.stale_ms + config.timing.watch_ms
    return ServiceBelief(selection, time_source, counters, table_store, old.total_seconds())
