"""Rule by which one of two values of a key replaces the other.

Values of one era are ordered by ``(number, digest)``. Between eras the numbers say little, since
the service gives them out again:

- A later version replaces an earlier one, if operators number the versions of the content. The
  copy from which an era begins may hold an earlier version than the one in force.
- Until an era is settled, it counts which value its writer made later. If the contents do not tell,
  the numbers decide: a value of the copy has a lower one than a value that the copy lacks. Of two
  values with the same number, the one of the later era was written later.
- The value of the later era replaces the other one once the era is settled. A value without an era,
  of an instance of an earlier build, is compared as if the era were not settled.
"""

import enum

import msgspec

from monsoonhoist.protocol import messages


class Candidate(msgspec.Struct, frozen=True):
    """A value that is compared with another one of its key.

    Attributes:
        revision: Revision of the value, with its era.
        progress: Its place among those of its writer, that of the last value if it is a removal;
            None if it is not known.
    """

    revision: messages.Revision
    progress: messages.Progress | None = None


class Order(enum.Enum):
    """How a value compares with the one in force.

    Attributes:
        NEWER: It replaces the other one.
        SAME: It is the same value.
        OLDER: It is an earlier value of the same era.
        OF_EARLIER_COPY: It is from an earlier era, or from the copy from which an era began.
    """

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    OF_EARLIER_COPY = "of_earlier_copy"


def compare(offered: Candidate, in_force: Candidate, is_settled: bool) -> Order:
    """Compares an offered value with the one in force.

    Args:
        offered: The offered value.
        in_force: The value in force of the same key.
        is_settled: Whether the newest known era is settled.
    """
    new, old = offered.revision, in_force.revision
    if is_same(new, old):
        return Order.SAME
    if new.era == old.era:
        return Order.NEWER if _number_key(new) > _number_key(old) else Order.OLDER
    if new.version and old.version and new.version != old.version:
        is_newer = new.version > old.version
    elif is_settled and not _has_unstated_era(new, old):
        is_newer = new.era > old.era
    elif _is_told(offered, in_force):
        is_newer = offered.progress > in_force.progress
    elif new.number == old.number:
        # The copy has no other value with the number than the earlier era.
        is_newer = new.era > old.era
    else:
        is_newer = new.number > old.number
    return Order.NEWER if is_newer else Order.OF_EARLIER_COPY


def may_be_newer(announced: messages.Revision, in_force: messages.Revision, settled: bool) -> bool:
    """Returns whether an announced value, whose content is not known, may replace the one in force.

    Args:
        announced: Revision of the announced value.
        in_force: Revision of the value in force of the same key.
        settled: Whether the newest known era is settled.
    """
    if is_same(announced, in_force):
        return False
    has_versions = bool(announced.version and in_force.version)
    is_open = not settled or _has_unstated_era(announced, in_force)
    if announced.era != in_force.era and is_open and not has_versions:
        return True
    return compare(Candidate(announced), Candidate(in_force), settled) is Order.NEWER


def is_same(one: messages.Revision, other: messages.Revision) -> bool:
    """Returns whether two revisions of a key are of one value, whichever eras state it."""
    return one.number == other.number and one.digest == other.digest


def _is_told(offered: Candidate, in_force: Candidate) -> bool:
    """Returns whether the contents tell which of two values was made later."""
    if offered.progress is None or in_force.progress is None:
        return False
    return offered.progress != in_force.progress


def _has_unstated_era(one: messages.Revision, other: messages.Revision) -> bool:
    return messages.UNSTATED_ERA in (one.era, other.era)


def _number_key(revision: messages.Revision) -> tuple[int, bytes]:
    return (revision.number, revision.digest)
