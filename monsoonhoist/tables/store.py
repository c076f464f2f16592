"""Table values in force, and the rule by which a newer one replaces an older one.

Whether a value is well-formed depends on the value alone. Among well-formed values
of a key, the one with the larger ``(number, digest)`` is in force, whatever the order
of arrival; so all instances that have seen the same values agree, and nothing goes
back to an older revision.
"""

import abc
import enum
import hashlib
from collections.abc import Collection, Mapping

import msgspec

from monsoonhoist.core import data, hashing, messages

VALUE_BYTES_MAX = 1_000_000
# Buckets that the keys are divided into when two instances compare what they have in force.
BUCKET_COUNT = 64
BUCKET_DIGEST_BYTES = 8


class Acceptance(enum.Enum):
    """What became of an offered value."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    OLDER = "older"
    REJECTED = "rejected"


class OfferResult(msgspec.Struct, frozen=True):
    """Result of offering a value.

    Attributes:
        acceptance: What became of it.
        findings: Everything wrong with it.
    """

    acceptance: Acceptance
    findings: tuple[data.Finding, ...] = ()


def digest_of(text: str) -> bytes:
    """Returns the digest that orders values with the same revision number."""
    return hashlib.sha256(text.encode()).digest()[:16]


class ParsedValue(msgspec.Struct, frozen=True):
    """What a value holds.

    Attributes:
        findings: Everything wrong with the value; empty if it may be accepted.
        content: What the format makes of the value; None if it names nothing.
        warnings: What is wrong with a value that is accepted all the same.
    """

    findings: tuple[data.Finding, ...]
    content: object = None
    warnings: tuple[data.Finding, ...] = ()


class TableFormat(abc.ABC):
    """Reads table values and joins them to the two tables."""

    @abc.abstractmethod
    def parse(self, key: data.TableKey, file: str, text: str) -> ParsedValue:
        """Parses and checks a value; the result depends on the value alone.

        Args:
            key: Table key of the value.
            file: Name used in findings.
            text: The value.
        """

    @abc.abstractmethod
    def update_tables(
        self,
        content_by_key: Mapping[data.TableKey, object],
        changed_keys: Collection[data.TableKey],
        tables: data.Tables,
    ) -> data.Tables:
        """Returns the tables after some values have changed.

        Args:
            content_by_key: What the values in force hold, the changed ones included.
            changed_keys: Keys of the changed values.
            tables: The tables before.
        """


class TableStore:
    """Accepted values of one instance.

    Args:
        table_format: Reads the values.

    Attributes:
        revision_by_key: Revisions in force.
        tables: The tables joined from the values in force.
    """

    def __init__(self, table_format: TableFormat) -> None:
        self.revision_by_key: dict[data.TableKey, messages.Revision] = {}
        self.tables = data.Tables({}, {})
        self._format = table_format
        self._text_by_key: dict[data.TableKey, str] = {}
        self._content_by_key: dict[data.TableKey, object] = {}
        self._changed_keys: set[data.TableKey] = set()
        self._rejected_by_key: dict[data.TableKey, messages.Revision] = {}
        self._digest_by_bucket = [0] * BUCKET_COUNT

    def offer(self, value: messages.TableValue) -> OfferResult:
        """Takes a value if it is well-formed and newer; ``join`` brings it into force.

        Args:
            value: A value from the service or from a peer.

        Returns:
            What became of it, with the findings of a rejected value.
        """
        revision = messages.Revision(value.key, value.number, digest_of(value.text))
        current = self.revision_by_key.get(value.key)
        if current is not None and _sort_key(revision) <= _sort_key(current):
            known = revision == current
            return OfferResult(Acceptance.KNOWN if known else Acceptance.OLDER)
        if self._rejected_by_key.get(value.key) == revision:
            return OfferResult(Acceptance.KNOWN)
        parsed = self._format.parse(value.key, value.key, value.text)
        if parsed.findings:
            self._rejected_by_key[value.key] = revision
            return OfferResult(Acceptance.REJECTED, parsed.findings)
        self._digest_by_bucket[bucket_of(value.key)] ^= _fingerprint(revision)
        if current is not None:
            self._digest_by_bucket[bucket_of(value.key)] ^= _fingerprint(current)
        self.revision_by_key[value.key] = revision
        self._text_by_key[value.key] = value.text
        self._content_by_key[value.key] = parsed.content
        self._changed_keys.add(value.key)
        return OfferResult(Acceptance.ACCEPTED, parsed.warnings)

    def apply_accepted(self) -> None:
        """Brings the accepted values into force."""
        if self._changed_keys:
            self.tables = self._format.update_tables(
                self._content_by_key, self._changed_keys, self.tables
            )
            self._changed_keys.clear()

    def nonempty_keys(self) -> tuple[data.TableKey, ...]:
        """Returns the keys that have a value which is not empty."""
        return tuple(key for key, text in self._text_by_key.items() if text)

    def value(self, key: data.TableKey) -> messages.TableValue | None:
        """Returns the value in force of a key, or None."""
        revision = self.revision_by_key.get(key)
        if revision is None:
            return None
        return messages.TableValue(key, revision.number, self._text_by_key[key])

    def has_processed(self, key: data.TableKey, number: int) -> bool:
        """Returns whether a revision number of a key needs no fetching."""
        current = self.revision_by_key.get(key)
        rejected = self._rejected_by_key.get(key)
        newest = max((rev.number for rev in (current, rejected) if rev is not None), default=-1)
        return number <= newest

    def outdated_keys(self, peer_revisions: messages.Revisions) -> tuple[data.TableKey, ...]:
        """Returns the keys of which a peer has a newer value in force."""
        return tuple(
            revision.key
            for revision in peer_revisions.revisions
            if self._is_newer(revision, self.revision_by_key.get(revision.key))
        )

    def revisions(self, buckets: Collection[int] | None = None) -> messages.Revisions:
        """Returns the revisions in force of some buckets, or all, ordered by key."""
        keys = sorted(self.revision_by_key)
        if buckets is not None:
            wanted = frozenset(buckets)
            keys = [key for key in keys if bucket_of(key) in wanted]
        return messages.Revisions(tuple(self.revision_by_key[key] for key in keys))

    def bucket_digests(self) -> bytes:
        """Returns the digests of the revisions in force, by bucket of their keys.

        A bucket's digest is the exclusive or of those of its revisions.
        """
        return b"".join(
            digest.to_bytes(BUCKET_DIGEST_BYTES, "big") for digest in self._digest_by_bucket
        )

    def differing_buckets(self, peer_digests: bytes) -> tuple[int, ...]:
        """Returns the buckets whose digest is another one at a peer."""
        mine = self.bucket_digests()
        size = BUCKET_DIGEST_BYTES
        return tuple(
            bucket
            for bucket in range(BUCKET_COUNT)
            if mine[bucket * size : (bucket + 1) * size]
            != peer_digests[bucket * size : (bucket + 1) * size]
        )

    def digest(self) -> bytes:
        """Returns one digest over all revisions in force."""
        return hashlib.sha256(self.bucket_digests()).digest()[:16]

    @staticmethod
    def _is_newer(candidate: messages.Revision, current: messages.Revision | None) -> bool:
        return current is None or _sort_key(candidate) > _sort_key(current)


def bucket_of(key: data.TableKey) -> int:
    """Returns the bucket of a key."""
    return hashing.weight(key) % BUCKET_COUNT


def _fingerprint(revision: messages.Revision) -> int:
    """Returns a number of ``BUCKET_DIGEST_BYTES`` bytes that stands for a revision."""
    return hashing.weight(revision.key, str(revision.number), revision.digest.hex())


def _sort_key(revision: messages.Revision) -> tuple[int, bytes]:
    return (revision.number, revision.digest)
