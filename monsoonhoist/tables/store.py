"""Store of table values, and the rule by which a newer value replaces an older one.

Whether a value is valid depends on the value alone. Of the valid values of a key, the one with the
largest ``(number, digest)`` is current, in whatever order they arrive. All instances that have
received the same values therefore hold the same tables, and no key returns to an older revision.

A valid value that defines nothing, such as one that another program wrote, is kept and passed on
as an empty text, so that its length and content affect no instance.
"""

import abc
import enum
import hashlib
import logging
from collections.abc import Collection, Mapping

import msgspec

from monsoonhoist.core import data, diagnostics
from monsoonhoist.protocol import messages
from monsoonhoist.tables import bucket_digests

# Longest value that defines anything. Its message must fit into a frame between instances.
VALUE_BYTES_MAX = 4_194_304

_log = logging.getLogger(__name__)


class Acceptance(enum.Enum):
    """What the store did with an offered value.

    Attributes:
        ACCEPTED: The value is valid, and newer than the current one.
        KNOWN: The same value is current, or is the last one of its key that was rejected.
        OLDER: A newer value is current.
        REJECTED: The value has errors.
    """

    ACCEPTED = "accepted"
    KNOWN = "known"
    OLDER = "older"
    REJECTED = "rejected"


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
    """

    findings: tuple[diagnostics.Finding, ...]
    content: object = None
    warnings: tuple[diagnostics.Finding, ...] = ()


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

    Attributes:
        revision_by_key: Current revisions.
        tables: Tables as of the latest call of ``apply_accepted``.
    """

    def __init__(self, table_format: TableFormat) -> None:
        self.revision_by_key: dict[data.TableKey, messages.Revision] = {}
        self.tables = data.Tables({}, {})
        self._format = table_format
        self._text_by_key: dict[data.TableKey, str] = {}
        self._content_by_key: dict[data.TableKey, object] = {}
        self._changed_keys: set[data.TableKey] = set()
        self._rejected_by_key: dict[data.TableKey, messages.Revision] = {}
        self._digests = bucket_digests.BucketDigests()
        self._listed_number = 0

    def record_listing(self, number: int) -> None:
        """Records that all keys with a value at a revision number have been offered.

        A value of another key that is older than the number has been removed since. An instance
        that was cut off may still have it in force and offer it. The removal is then put in force
        in its place, and so reaches that instance too.
        """
        self._listed_number = max(self._listed_number, number)

    def offer(self, value: messages.TableValue) -> OfferResult:
        """Accepts a value that is valid and newer than the current one of its key.

        ``apply_accepted`` then updates the tables.

        Args:
            value: A value from the configuration service or from a peer.

        Returns:
            What was done with the value, and the errors or warnings found in it. If the value is
            the last one of its key that was rejected, it is reported as known, without its errors.
        """
        current = self.revision_by_key.get(value.key)
        if current is None and value.number < self._listed_number:
            value = messages.TableValue(value.key, self._listed_number, "")
        revision = messages.Revision(value.key, value.number, digest_of(value.text))
        if current is not None and _sort_key(revision) <= _sort_key(current):
            is_known = revision == current
            return OfferResult(Acceptance.KNOWN if is_known else Acceptance.OLDER)
        if self._rejected_by_key.get(value.key) == revision:
            return OfferResult(Acceptance.KNOWN)
        parsed = self._parse(value)
        if parsed.findings:
            self._rejected_by_key[value.key] = revision
            return OfferResult(Acceptance.REJECTED, parsed.findings)
        if parsed.content is None and value.text:
            value = messages.TableValue(value.key, value.number, "")
            revision = messages.Revision(value.key, value.number, digest_of(""))
            if current is not None and _sort_key(revision) <= _sort_key(current):
                return OfferResult(Acceptance.KNOWN)
        self._digests.toggle(revision)
        if current is not None:
            self._digests.toggle(current)
        self.revision_by_key[value.key] = revision
        self._text_by_key[value.key] = value.text
        self._content_by_key[value.key] = parsed.content
        self._changed_keys.add(value.key)
        return OfferResult(Acceptance.ACCEPTED, parsed.warnings)

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

    def nonempty_keys(self) -> tuple[data.TableKey, ...]:
        """Returns the keys whose current value is not empty."""
        return tuple(key for key, text in self._text_by_key.items() if text)

    def value(self, key: data.TableKey) -> messages.TableValue | None:
        """Returns the current value of a key, or None."""
        revision = self.revision_by_key.get(key)
        if revision is None:
            return None
        return messages.TableValue(key, revision.number, self._text_by_key[key])

    def has_processed(self, key: data.TableKey, number: int) -> bool:
        """Returns whether a value with this or a larger number was accepted or rejected.

        If so, the value with this number need not be fetched.
        """
        current = self.revision_by_key.get(key)
        rejected = self._rejected_by_key.get(key)
        newest = max((rev.number for rev in (current, rejected) if rev is not None), default=-1)
        return number <= newest

    def is_newer(self, revision: messages.Revision) -> bool:
        """Returns whether a revision is newer than the current one of its key."""
        current = self.revision_by_key.get(revision.key)
        return current is None or _sort_key(revision) > _sort_key(current)

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


def _sort_key(revision: messages.Revision) -> tuple[int, bytes]:
    return (revision.number, revision.digest)
