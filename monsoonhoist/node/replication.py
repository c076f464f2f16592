"""Replicates the tables from the configuration service to all instances.

A few instances, the watchers, watch the configuration service; the settings determine whether they
are chosen in each availability zone or over all zones. An instance announces newly accepted
revisions to all instances to which it has a stream. They request the values that are newer than
theirs and announce them in turn (gossip). Heartbeats carry a digest of all revisions, so that lost
announcements are detected (anti-entropy); digests of the revisions by bucket of their keys then
limit the comparison to the buckets that differ. An instance that is not a watcher reads the service
only at its start, after a pause of its process, and while it has no stream to another instance.
"""

import logging
import random
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from monsoonhoist import errors, metrics
from monsoonhoist.core import clock, data
from monsoonhoist.node import era_log, evacuation_log, value_log, value_requests
from monsoonhoist.protocol import messages, packed_tables
from monsoonhoist.tables import announcements, reconciliation, store

# Most revisions or keys in a message, and the length of compressed values at which a message is
# full. Both keep messages well below the length of a frame.
MESSAGE_KEYS_MAX = 4096
MESSAGE_VALUES_BYTES = 1_048_576
# How long announcements of keys that operators do not write are collected. Peers that announce the
# same values meanwhile need no announcement, so the delay varies by up to a half.
ANNOUNCE_DELAY_SECONDS = 0.05
# Most keys listed in the log line about accepted values.
LOGGED_KEYS_MAX = 5

# Not ``__name__``: operators select log lines by this name, which the module had before it was
# renamed.
_log = logging.getLogger("monsoonhoist.node.tables")


EntryT = TypeVar("EntryT")


class TableReplicator:
    """Stores table values and exchanges them with peers.

    Args:
        table_format: Parses the values.
        time_source: The clock.
        counters: Metrics of this instance.
        send: Sends a message to an instance.
        connected_instances: Returns the instances whose streams are up; announcements go to them.
        on_change: Called after new values have been applied.
        latest_read: Returns the latest known read of the configuration service, for the log.
        spread_instances: Returns those of the connected instances to which values that operators
            do not write are announced; None for all.
        call_later: Calls a function after a delay in seconds; None to announce at once.

    Attributes:
        store: Current values.
        changed_at: When values were last applied, in monotonic seconds; None before the first.
    """

    def __init__(
        self,
        table_format: store.TableFormat,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        send: Callable[[data.InstanceId, messages.Message], bool],
        connected_instances: Callable[[], tuple[data.InstanceId, ...]],
        on_change: Callable[[], None],
        latest_read: Callable[[], messages.ConfigReadReport | None] = lambda: None,
        spread_instances: Callable[[], tuple[data.InstanceId, ...]] | None = None,
        call_later: Callable[[float, Callable[[], None]], object] | None = None,
    ):
        self.store = store.TableStore(table_format, time_source)
        self.changed_at: float | None = None
        self._clock = time_source
        self._counters = counters
        self._send = send
        self._connected_instances = connected_instances
        self._on_change = on_change
        self._evacuation_log = evacuation_log.EvacuationLog(table_format, latest_read)
        self._value_log = value_log.ValueLog(time_source, self.store.revision_by_key)
        self._spread_instances = spread_instances or connected_instances
        self._call_later = call_later
        self._announcements = announcements.Announcements()
        self._is_announcement_due = False
        self._digest = self.store.digest()
        self._is_operator_key = table_format.is_operator_key
        self._requests = value_requests.ValueRequests(
            time_source, table_format.is_operator_key, self.store.is_newer
        )
        self._schedule = reconciliation.ReconciliationSchedule(time_source)

    @property
    def digest(self) -> bytes:
        """Digest of all current revisions."""
        return self._digest

    def offer(self, values: Iterable[messages.TableValue], source: str) -> None:
        """Applies and announces acceptable values; the source is ``service`` or ``peer``."""
        accepted = [value.key for value in values if self._offer_value(value, source)]
        if not accepted:
            return
        logged = accepted[:LOGGED_KEYS_MAX]
        numbers = [self.store.revision_by_key[key].number for key in logged]
        extra = {"count": len(accepted), "keys": logged, "numbers": numbers, "source": source}
        _log.info("table values in force", extra=extra)
        self.store.apply_accepted()
        self.changed_at = self._clock.monotonic()
        self._schedule.record_change()
        self._digest = self.store.digest()
        self._on_change()
        revisions = [self.store.revision_by_key[key] for key in accepted]
        self._evacuation_log.record(revisions, self.store.tables, source)
        self._announce(revisions)

    def _announce(self, revisions: list[messages.Revision]) -> None:
        """Announces the revisions of operators' keys at once, and the others a little later."""
        operators, others = self._operators_first(revisions, lambda revision: revision.key)
        if operators:
            for instance in self._connected_instances():
                self._send_revisions(instance, operators)
        self._announcements.add(others)
        if self._call_later is None:
            self._send_announcements()
        elif others and not self._is_announcement_due:
            self._is_announcement_due = True
            delay = ANNOUNCE_DELAY_SECONDS * random.uniform(0.5, 1.5)
            self._call_later(delay, self._send_announcements)

    def _send_announcements(self) -> None:
        self._is_announcement_due = False
        taken = self._announcements.take(self._spread_instances())
        for instance, revisions in taken.items():
            if revisions:
                self._send_revisions(instance, revisions)

    def _offer_value(self, value: messages.TableValue, source: str) -> bool:
        """Offers a value to the store; returns whether it was accepted."""
        result = self.store.offer(value)
        self._counters.count_table_value(result.acceptance, source)
        self._value_log.record(value, result.acceptance, source)
        extra = {"key": value.key, "number": value.number, "source": source}
        if result.findings:
            findings = [finding.describe() for finding in result.findings]
            is_rejected = result.acceptance is store.Acceptance.REJECTED
            message = "table value rejected" if is_rejected else "table value has findings"
            _log.error(message, extra={**extra, "findings": findings})
        if not result.acceptance.is_change:
            return False
        self._requests.record_accepted(value.key)
        return True

    def handle_message(self, sender: data.InstanceId, message: messages.Message) -> None:
        """Handles a peer's message about table values."""
        era_before = self.store.eras.newest
        match message:
            case messages.Revisions():
                self.handle_revisions(sender, message)
            case messages.TableBuckets():
                self.handle_buckets(sender, message)
            case messages.WantRevisions():
                self._send_revisions(sender, self.store.revisions(message.buckets))
            case messages.WantTables():
                self.handle_value_request(sender, message)
            case messages.PackedTables():
                self.store.eras.record_settled(message.settled_era)
                self.offer(self._unpack(message), "peer")
                keys = [packed.key for packed in message.tables]
                self._request(sender, self._requests.record_values(sender, keys))
        era_log.log_newer(era_before, self.store, "peer")

    def handle_revisions(self, sender: data.InstanceId, message: messages.Revisions) -> None:
        """Requests the values that are newer at the sender."""
        self.store.eras.record_settled(message.settled_era)
        newer = [each for each in message.revisions if self.store.is_newer(each)]
        self._announcements.record_heard(sender, message.revisions, newer)
        self._request(sender, self._requests.add(sender, newer))

    def _request(
        self, instance: data.InstanceId, batches: Iterable[tuple[data.TableKey, ...]]
    ) -> None:
        for batch in batches:
            for keys in _split(list(batch)):
                self._send(instance, messages.WantTables(tuple(keys)))

    def handle_value_request(self, sender: data.InstanceId, message: messages.WantTables) -> None:
        """Sends the requested values, those of operators' keys first in messages of their own."""
        for keys in self._operators_first(message.keys, lambda key: key):
            self._send_values(sender, keys)

    def _operators_first(
        self, entries: Iterable[EntryT], key_of: Callable[[EntryT], data.TableKey]
    ) -> tuple[list[EntryT], list[EntryT]]:
        """Returns the entries of operators' keys, and all others."""
        operators: list[EntryT] = []
        others: list[EntryT] = []
        for entry in entries:
            (operators if self._is_operator_key(key_of(entry)) else others).append(entry)
        return operators, others

    def _send_values(self, sender: data.InstanceId, keys: list[data.TableKey]) -> None:
        """Sends values in as many messages as their length requires."""
        batch: list[messages.PackedTable] = []
        batch_bytes = 0
        for key in keys:
            value = self.store.value(key)
            if value is None:
                continue
            packed = packed_tables.pack(value)
            if batch and batch_bytes + len(packed.deflated) > MESSAGE_VALUES_BYTES:
                self._send(sender, self._pack(batch))
                batch, batch_bytes = [], 0
            batch.append(packed)
            batch_bytes += len(packed.deflated) + len(key)
        if batch:
            self._send(sender, self._pack(batch))

    def _pack(self, tables: list[messages.PackedTable]) -> messages.PackedTables:
        return messages.PackedTables(tuple(tables), self.store.eras.settled_era())

    def _unpack(self, message: messages.PackedTables) -> list[messages.TableValue]:
        """Returns the values of a message that can be read.

        One that cannot be read is logged, and requested again later: it must not keep the others
        of its message, or of the stream, from coming into force.
        """
        values = []
        for packed in message.tables:
            try:
                values.append(packed_tables.unpack(packed, store.VALUE_BYTES_MAX))
            except errors.ProtocolError as error:
                extra = {"key": packed.key, "number": packed.number, "error": str(error)}
                _log.error("table value not read", extra=extra)
                self._counters.count_table_value(store.Acceptance.REJECTED, "peer")
                self._requests.record_unreadable(packed)
        return values

    def _send_revisions(
        self, instance: data.InstanceId, revisions: Iterable[messages.Revision]
    ) -> None:
        for part in self._operators_first(revisions, lambda revision: revision.key):
            for batch in _split(part):
                message = messages.Revisions(tuple(batch), self.store.eras.settled_era())
                self._send(instance, message)

    def handle_digest(self, sender: data.InstanceId, digest: bytes) -> None:
        """Sends the bucket digests to a peer whose digest differs, if a comparison is due."""
        if digest != self._digest and self._schedule.try_compare(sender):
            self._send(sender, self.bucket_digests())

    def bucket_digests(self) -> messages.TableBuckets:
        """Returns the digests of the current revisions, by bucket."""
        return messages.TableBuckets(self.store.bucket_digests())

    def handle_buckets(self, sender: data.InstanceId, message: messages.TableBuckets) -> None:
        """Requests the revisions of buckets that differ and sends this instance's digests back."""
        differing = self.store.differing_buckets(message.digests)
        wanted = self._schedule.take_buckets(differing)
        if wanted:
            self._send(sender, messages.WantRevisions(wanted))
        if differing and self._schedule.try_reply(sender):
            self._send(sender, self.bucket_digests())


def _split(entries: list[EntryT]) -> Iterator[list[EntryT]]:
    """Yields the entries in lists of at most ``MESSAGE_KEYS_MAX``."""
    for start in range(0, len(entries), MESSAGE_KEYS_MAX):
        yield entries[start : start + MESSAGE_KEYS_MAX]
