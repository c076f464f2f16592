"""Store of table values, and the rule by which a newer value replaces an older one.

Whether a value is valid depends on the value alone. Of the valid values of a key, ``precedence``
determines which one is current, in whatever order they arrive. All instances that have received the
same values therefore hold the same tables once the era of the configuration service is settled, and
no key returns to an older revision within an era.

A valid value that defines nothing, such as one that another program wrote, is kept and passed on
as an empty text, so that its length and content affect no instance.
"""

import abc
import collections
import enum
import hashlib
import logging
from collections.abc import Collection, Mapping

import msgspec

from monsoonhoist.core import clock, data, diagnostics
from monsoonhoist.protocol import messages
from monsoonhoist.tables import bucket_digests, eras, precedence

# Longest value that defines anything. Its message must fit into a frame between instances.
VALUE_BYTES_MAX = 4_194_304
# Most replaced values of a key that are remembered.
REPLACED_MAX = 16

_log = logging.getLogger(__name__)


class Acceptance(enum.Enum):
    """What the store did with an offered value.

    Attributes:
        ACCEPTED: The value is valid, and newer than the current one.
        KNOWN: The same value is current, or is the last one of its key that was rejected.
        OLDER: A newer value of the same era is current.
        OF_EARLIER_COPY: The value is from an earlier era, or from the copy from which the era of
            the configuration service began, and a newer value is current.
        REMOVED: A later list lacks the key, whose removal is in force in place of the value.
        REJECTED: The value has errors.
    """

    ACCEPTED = "accepted"
    KNOWN = "known"
    OLDER = "older"
    OF_EARLIER_COPY = "of_earlier_copy"
    REMOVED = "removed"
    REJECTED = "rejected"

    @property
    def is_change(self) -> bool:
        """Whether another value of the key, or its removal, has come into force."""
        return self in (Acceptance.ACCEPTED, Acceptance.REMOVED)


_ACCEPTANCE_BY_ORDER = {
    precedence.Order.SAME: Acceptance.KNOWN,
    precedence.Order.OLDER: Acceptance.OLDER,
    precedence.Order.OF_EARLIER_COPY: Acceptance.OF_EARLIER_COPY,
}


class OfferResult(msgspec.Struct, frozen=True):
    """Result of offering a value to the store.

    Attributes:
        acceptance: What the store did with the value.
        findings: Errors of a rejected value, or warnings about an accepted one.
    """

    acceptance: Acceptance
    findings: tuple[diagnostics.Finding, ...] = ()


def digest_of(text: str) -> bytes:
    """Returns the digest of a value, which orders values with the same revision number."""
    return hashlib.sha256(text.encode()).digest()[:16]


class ParsedValue(msgspec.Struct, frozen=True):
    """Result of parsing a value.

    Attributes:
        findings: Errors in the value; empty if it may be accepted.
        content: The parsed value, of a type that depends on the format; None if the value defines
            nothing.
        warnings: Errors that do not prevent the value from being accepted.
        version: Version that operators gave the content; 0 if they number none.
        progress: Place of the value among those of its writer; None if it does not tell.
    """

    findings: tuple[diagnostics.Finding, ...]
    content: object = None
    warnings: tuple[diagnostics.Finding, ...] = ()
    version: int = 0
    progress: messages.Progress | None = None


class Listing(msgspec.Struct, frozen=True, order=True):
    """Era and revision number up to which all keys of the configuration service were read."""

    era: int = eras.UNSTATED
    number: int = 0


class TableFormat(abc.ABC):
    """Parses table values and builds the two tables from them."""

    @abc.abstractmethod
    def parse(self, key: data.TableKey, file: str, text: str) -> ParsedValue:
        """Parses and validates a value; the result depends on the value alone.

        Args:
            key: Table key of the value.
            file: Source name used in findings.
            text: The value.
        """

    def is_operator_key(self, key: data.TableKey) -> bool:
        """Returns whether operators write a key; its values do not wait behind those of others."""
        return False

    def bars_replaced_values(self, key: data.TableKey) -> bool:
        """Returns whether a replaced value of a key never comes into force again in a later era.

        Nor does a value of an earlier era replace one of a later era. The backup of the service may
        still have a replaced value. Values whose contents tell their order, and
        keys whose presence counts, need no such rule.
        """
        return False

    def evacuated_zone(self, key: data.TableKey) -> data.ZoneId | None:
        """Returns the availability zone that a key evacuates, or None."""
        return None

    @abc.abstractmethod
    def update_tables(
        self,
        content_by_key: Mapping[data.TableKey, object],
        changed_keys: Collection[data.TableKey],
        tables: data.Tables,
    ) -> data.Tables:
        """Returns the tables after some values have changed.

        Args:
            content_by_key: Parsed content of all current values, including the changed ones.
            changed_keys: Keys of the changed values.
            tables: The tables before the change.
        """


class TableStore:
    """Holds the accepted values of one instance and the tables built from them.

    Args:
        table_format: Parses the values and builds the tables.
        time_source: The clock.

    Attributes:
        eras: Newest known era of the configuration service.
        revision_by_key: Current revisions.
        tables: Tables as of the latest call of ``apply_accepted``.
    """

    def __init__(self, table_format: TableFormat, time_source: clock.Clock | None = None) -> None:
        self.eras = eras.Eras(time_source or clock.SystemClock())
        self.revision_by_key: dict[data.TableKey, messages.Revision] = {}
        self.tables = data.Tables({}, {})
        self._format = table_format
        self._text_by_key: dict[data.TableKey, str] = {}
        self._content_by_key: dict[data.TableKey, object] = {}
        # Also of keys that were removed: a copy of the service may still have their last value.
        self._progress_by_key: dict[data.TableKey, messages.Progress] = {}
        self._changed_keys: set[data.TableKey] = set()
        self._rejected_by_key: dict[data.TableKey, messages.Revision] = {}
        self._replaced_by_key: dict[data.TableKey, collections.deque[messages.Revision]] = {}
        self._reverted_by_key: dict[data.TableKey, messages.Revision] = {}
        self._digests = bucket_digests.BucketDigests()
        self._listing = Listing()

    def record_listing(self, number: int, era: int = eras.UNSTATED) -> None:
        """Records that all keys with a value at a revision number have been offered.

        A value of another key that is older than the number has been removed since. An instance
        that was cut off may still have it in force and offer it. The removal is then put in force
        in its place, and so reaches that instance too.
        """
        if number:
            self._listing = max(self._listing, Listing(self.eras.resolve(era), number))

    def offer(self, value: messages.TableValue) -> OfferResult:
        """Accepts a value that is valid and newer than the current one of its key.

        ``apply_accepted`` then updates the tables.

        Args:
            value: A value from the configuration service or from a peer.

        Returns:
            What was done with the value, and the errors or warnings found in it. If the value is
            the last one of its key that was rejected, it is reported as known, without its errors.
        """
        self.eras.record(value.era)
        current = self.revision_by_key.get(value.key)
        accepted = Acceptance.ACCEPTED
        if current is None and self._is_removed_by_listing(value):
            listing = self._listing
            accepted = Acceptance.REMOVED if value.text else Acceptance.ACCEPTED
            value = messages.TableValue(value.key, listing.number, "", listing.era)
        revision = _make_revision(value)
        if current is not None and precedence.is_same(revision, current):
            self._raise_era(revision)
            return OfferResult(Acceptance.KNOWN)
        if self._is_rejected(revision):
            return OfferResult(Acceptance.KNOWN)
        if self._is_older_in_era(revision):
            return OfferResult(Acceptance.OLDER)
        if any(precedence.is_same(revision, each) for each in self._replaced(value.key)):
            self._reverted_by_key[value.key] = revision
            return OfferResult(Acceptance.OF_EARLIER_COPY)
        parsed = self._parse(value)
        if parsed.findings:
            self._rejected_by_key[value.key] = revision
            return OfferResult(Acceptance.REJECTED, parsed.findings)
        if parsed.content is None and value.text:
            value = msgspec.structs.replace(value, text="")
            revision = _make_revision(value)
        revision = msgspec.structs.replace(revision, version=parsed.version)
        progress = parsed.progress or value.progress
        order = self._compare(revision, progress)
        if order is not precedence.Order.NEWER:
            return OfferResult(_ACCEPTANCE_BY_ORDER[order])
        if progress is not None:
            self._progress_by_key[value.key] = progress
        self._accept(value, revision, parsed)
        return OfferResult(accepted, parsed.warnings)

    def _accept(
        self, value: messages.TableValue, revision: messages.Revision, parsed: ParsedValue
    ) -> None:
        """Puts a value in force."""
        key = value.key
        current = self.revision_by_key.get(key)
        self._digests.toggle(revision)
        if current is not None:
            self._digests.toggle(current)
            if self._format.bars_replaced_values(key):
                replaced = collections.deque(self._replaced(key), REPLACED_MAX)
                replaced.append(current)
                self._replaced_by_key[key] = replaced
        self.revision_by_key[key] = revision
        self._text_by_key[key] = value.text
        self._content_by_key[key] = parsed.content
        self._changed_keys.add(key)

    def _replaced(self, key: data.TableKey) -> Collection[messages.Revision]:
        """Returns the latest replaced values of a key that are kept out of force."""
        return self._replaced_by_key.get(key, ())

    def _compare(
        self, revision: messages.Revision, progress: messages.Progress | None
    ) -> precedence.Order:
        """Compares an offered value with the current one of its key."""
        current = self.revision_by_key.get(revision.key)
        if current is None:
            return precedence.Order.NEWER
        is_outdated = eras.UNSTATED < revision.era < current.era
        if is_outdated and self._format.bars_replaced_values(revision.key):
            return precedence.Order.OF_EARLIER_COPY
        offered = precedence.Candidate(revision, progress)
        in_force = precedence.Candidate(current, self._progress_by_key.get(revision.key))
        return precedence.compare(offered, in_force, self.eras.is_settled())

    def _is_older_in_era(self, revision: messages.Revision) -> bool:
        """Returns whether a value is older than the current one whatever its content is."""
        current = self.revision_by_key.get(revision.key)
        return current is not None and revision.era == current.era and not self.is_newer(revision)

    def _is_removed_by_listing(self, value: messages.TableValue) -> bool:
        """Returns whether a value of an unknown key is older than the listing that lacks it.

        A value of an earlier era may have been lost by the service, and be written again until the
        era is settled.
        """
        if value.era in (self._listing.era, eras.UNSTATED):
            return value.number < self._listing.number
        return value.era < self._listing.era and self.eras.is_settled()

    def _raise_era(self, revision: messages.Revision) -> None:
        """Records that the current value of a key is also one of a later era."""
        current = self.revision_by_key[revision.key]
        if revision.era > current.era:
            raised = msgspec.structs.replace(current, era=revision.era)
            self.revision_by_key[revision.key] = raised

    def _is_rejected(self, revision: messages.Revision) -> bool:
        """Returns whether a value is the last one of its key that was rejected."""
        rejected = self._rejected_by_key.get(revision.key)
        return rejected is not None and precedence.is_same(revision, rejected)

    def _parse(self, value: messages.TableValue) -> ParsedValue:
        """Parses a value; an unexpected error is a finding, so that it affects this value only."""
        try:
            return self._format.parse(value.key, value.key, value.text)
        except Exception as error:
            _log.exception("table value not parsed", extra={"key": value.key})
            message = f"cannot be parsed: {type(error).__name__}: {error}"
            return ParsedValue((diagnostics.Finding(diagnostics.Place(value.key), message),))

    def apply_accepted(self) -> None:
        """Updates the tables with the values accepted since the last call."""
        if self._changed_keys:
            self.tables = self._format.update_tables(
                self._content_by_key, self._changed_keys, self.tables
            )
            self._changed_keys.clear()

    def removable_keys(self, era: int) -> tuple[data.TableKey, ...]:
        """Returns the keys with a value that are gone if a list of an era lacks them.

        Until the era is settled, those with a value of an earlier era are not among them, since it
        may be written again.
        """
        is_settled = self.eras.is_settled()
        return tuple(
            key
            for key in self.nonempty_keys()
            if is_settled or self.revision_by_key[key].era >= self.eras.resolve(era)
        )

    def has_earlier_eras(self) -> bool:
        """Returns whether a value or a removal in force was not read in the newest known era."""
        newest = self.eras.newest
        return any(revision.era < newest for revision in self.revision_by_key.values())

    def nonempty_keys(self) -> tuple[data.TableKey, ...]:
        """Returns the keys whose current value is not empty."""
        return tuple(key for key, text in self._text_by_key.items() if text)

    def value(self, key: data.TableKey) -> messages.TableValue | None:
        """Returns the current value of a key, or None."""
        revision = self.revision_by_key.get(key)
        if revision is None:
            return None
        text = self._text_by_key[key]
        progress = None if text else self._progress_by_key.get(key)
        return messages.TableValue(key, revision.number, text, revision.era, progress)

    def has_processed(self, key: data.TableKey, number: int, era: int = eras.UNSTATED) -> bool:
        """Returns whether a value with this or a larger number of an era was processed.

        A value is processed if it was accepted or rejected. It need not be fetched again.
        """
        revisions = (self.revision_by_key, self._rejected_by_key, self._reverted_by_key)
        known = [by_key.get(key) for by_key in revisions]
        era = self.eras.resolve(era)
        numbers = (each.number for each in known if each is not None and each.era >= era)
        return number <= max(numbers, default=-1)

    def is_acceptable(self, value: messages.TableValue) -> bool:
        """Returns whether a value that tells no order by its content would be accepted if valid."""
        resolved = msgspec.structs.replace(value, era=self.eras.resolve(value.era))
        return self._compare(_make_revision(resolved), None) is precedence.Order.NEWER

    def is_newer(self, revision: messages.Revision) -> bool:
        """Returns whether a revision is, or may be, newer than the current one of its key."""
        current = self.revision_by_key.get(revision.key)
        if current is None:
            return True
        return precedence.may_be_newer(revision, current, self.eras.is_settled())

    def revisions(self, buckets: Collection[int] | None = None) -> tuple[messages.Revision, ...]:
        """Returns the current revisions in the given buckets, or in all, ordered by key."""
        keys = sorted(self.revision_by_key)
        if buckets is not None:
            bucket_set = frozenset(buckets)
            keys = [key for key in keys if bucket_digests.bucket_of(key) in bucket_set]
        return tuple(self.revision_by_key[key] for key in keys)

    def bucket_digests(self) -> bytes:
        """Returns the concatenated digests of all buckets."""
        return self._digests.concatenated()

    def differing_buckets(self, peer_digests: bytes) -> tuple[int, ...]:
        """Returns the buckets whose digest differs from the one of a peer."""
        return self._digests.differing(peer_digests)

    def digest(self) -> bytes:
        """Returns one digest over all current revisions."""
        return self._digests.total()


def _make_revision(value: messages.TableValue) -> messages.Revision:
    return messages.Revision(value.key, value.number, digest_of(value.text), value.era)
