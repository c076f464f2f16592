"""Table values in force, and the rule by which a newer one replaces an older one.

Whether a value is well-formed depends on the value alone. Among well-formed values
of a key, the one with the larger ``(number, digest)`` is in force, whatever the order
of arrival; so all instances that have seen the same values agree, and nothing goes
back to an older revision.
"""

import enum
import hashlib

import msgspec

from monsoonhoist.core import data, messages
from monsoonhoist.tables import pools, routes

VALUE_BYTES_MAX = 1_000_000


class Acceptance(enum.Enum):
    """What became of an offered value."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    OLDER = "older"
    REJECTED = "rejected"


class Verdict(msgspec.Struct, frozen=True):
    """Result of offering a value.

    Attributes:
        acceptance: What became of it.
        findings: Everything wrong with it, if rejected.
    """

    acceptance: Acceptance
    findings: tuple[data.Finding, ...] = ()


class Tables(msgspec.Struct, frozen=True):
    """The two tables in force, joined from the accepted values."""

    route_by_id: dict[data.RouteId, data.Route]
    pool_by_id: dict[data.PoolId, data.Pool]


def digest_of(text: str) -> bytes:
    """Returns the digest that orders values with the same revision number."""
    return hashlib.sha256(text.encode()).digest()[:16]


class ParsedValue(msgspec.Struct, frozen=True):
    """What a value holds; one of the tables, or findings.

    Attributes:
        findings: Everything wrong with the value; empty if it may be accepted.
        table: The table of routes, if the key is the routes'.
        part: The part of a pool, if the key is a pool's.
    """

    findings: tuple[data.Finding, ...]
    table: routes.RoutesTable | None = None
    part: pools.PoolPart | None = None


def parse(key: data.TableKey, file: str, text: str) -> ParsedValue:
    """Parses and checks a value; the result depends on the value alone."""
    if len(text.encode()) > VALUE_BYTES_MAX:
        message = f"the value is larger than {VALUE_BYTES_MAX} bytes"
        return ParsedValue((data.Finding(data.Place(file), message),))
    if key == routes.KEY:
        table = routes.parse(file, text)
        return ParsedValue(table.findings, table=table)
    if pools.is_pool_key(key):
        part = pools.parse(key, file, text)
        return ParsedValue(part.findings, part=part)
    message = f"the key {key!r} is neither routes nor a pool"
    return ParsedValue((data.Finding(data.Place(file), message),))


class TableStore:
    """Accepted values of one instance.

    Attributes:
        revision_by_key: Revisions in force.
        tables: The tables joined from the values in force.
    """

    def __init__(self) -> None:
        self.revision_by_key: dict[data.TableKey, messages.Revision] = {}
        self.tables = Tables({}, {})
        self._text_by_key: dict[data.TableKey, str] = {}
        self._part_by_key: dict[data.TableKey, pools.PoolPart] = {}
        self._rejected_by_key: dict[data.TableKey, messages.Revision] = {}

    def offer(self, value: messages.TableValue) -> Verdict:
        """Takes a value into force if it is well-formed and newer.

        Args:
            value: A value from the service or from a peer.

        Returns:
            What became of it, with the findings of a rejected value.
        """
        revision = messages.Revision(value.key, value.number, digest_of(value.text))
        current = self.revision_by_key.get(value.key)
        if current is not None and _order(revision) <= _order(current):
            known = revision == current
            return Verdict(Acceptance.KNOWN if known else Acceptance.OLDER)
        if self._rejected_by_key.get(value.key) == revision:
            return Verdict(Acceptance.KNOWN)
        parsed = parse(value.key, value.key, value.text)
        if parsed.findings:
            self._rejected_by_key[value.key] = revision
            return Verdict(Acceptance.REJECTED, parsed.findings)
        self.revision_by_key[value.key] = revision
        self._text_by_key[value.key] = value.text
        self._rebuild(value.key, parsed)
        return Verdict(Acceptance.ACCEPTED)

    def value(self, key: data.TableKey) -> messages.TableValue | None:
        """Returns the value in force of a key, or None."""
        revision = self.revision_by_key.get(key)
        if revision is None:
            return None
        return messages.TableValue(key, revision.number, self._text_by_key[key])

    def is_settled(self, key: data.TableKey, number: int) -> bool:
        """Returns whether a revision number of a key needs no fetching."""
        current = self.revision_by_key.get(key)
        rejected = self._rejected_by_key.get(key)
        newest = max((rev.number for rev in (current, rejected) if rev is not None), default=-1)
        return number <= newest

    def missing(self, theirs: messages.Revisions) -> tuple[data.TableKey, ...]:
        """Returns the keys of which a peer has a newer value in force."""
        return tuple(
            revision.key
            for revision in theirs.revisions
            if self._is_newer(revision, self.revision_by_key.get(revision.key))
        )

    def revisions(self) -> messages.Revisions:
        """Returns all revisions in force, ordered by key."""
        return messages.Revisions(
            tuple(self.revision_by_key[key] for key in sorted(self.revision_by_key))
        )

    def summary(self) -> bytes:
        """Returns one digest over all revisions in force."""
        sha = hashlib.sha256()
        for revision in self.revisions().revisions:
            sha.update(f"{revision.key}\0{revision.number}\0".encode() + revision.digest)
        return sha.digest()[:16]

    @staticmethod
    def _is_newer(theirs: messages.Revision, mine: messages.Revision | None) -> bool:
        return mine is None or _order(theirs) > _order(mine)

    def _rebuild(self, key: data.TableKey, parsed: ParsedValue) -> None:
        """Replaces the tables by ones that hold the accepted value."""
        if parsed.table is not None:
            self.tables = Tables(parsed.table.route_by_id, self.tables.pool_by_id)
            return
        self._part_by_key[key] = parsed.part
        pool_id = parsed.part.pool_id
        parts = [
            self._part_by_key[name]
            for name in sorted(self._part_by_key)
            if pools.pool_of(name) == pool_id
        ]
        pool_by_id = {**self.tables.pool_by_id, pool_id: pools.join(pool_id, parts)}
        self.tables = Tables(self.tables.route_by_id, pool_by_id)


def _order(revision: messages.Revision) -> tuple[int, bytes]:
    return (revision.number, revision.digest)
