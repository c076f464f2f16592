"""Requests for table values that other instances have announced.

The values of operators' keys are requested at once, by a message of their own. The others are
requested from each instance in batches, the next one when the last has arrived, so that a value of
an operators' key never waits behind more than one batch on a stream.
"""

import itertools
from collections.abc import Callable, Iterable

import msgspec

from monsoonhoist.core import clock, data
from monsoonhoist.protocol import messages

# Minimum interval between two requests for the same key.
VALUE_REQUEST_INTERVAL_SECONDS = 0.5
# How long a value that could not be read is not requested again.
UNREADABLE_VALUE_INTERVAL_SECONDS = 30.0
# Time after which a batch that did not arrive counts as lost.
BATCH_TIMEOUT_SECONDS = 2.0
# Number of keys of the first batch, and its bounds. It grows while batches arrive fast, since each
# batch rebuilds the tables, and shrinks on slow links, on which a batch delays operators' keys.
BATCH_KEYS = 64
BATCH_KEYS_MIN = 16
BATCH_KEYS_MAX = 2048
# A batch that takes less time doubles the next one; one that takes more than the second time halves
# it.
FAST_BATCH_SECONDS = 0.1
SLOW_BATCH_SECONDS = 0.3


class ValueRequest(msgspec.Struct, frozen=True):
    """The last request for a value.

    Attributes:
        era: Era of the requested revision.
        number: Number of the requested revision.
        repeat_at: When the same value may be requested again, in monotonic seconds.
    """

    era: int
    number: int
    repeat_at: float


class _Announcer:
    """Instance with values that it has announced and that were not received from it yet.

    Attributes:
        waiting_by_key: Revisions that are not requested yet.
        requested_keys: Keys of the batch that is on its way.
        requested_at: When the batch was requested, in monotonic seconds.
        batch_keys: Number of keys of the next batch.
    """

    def __init__(self) -> None:
        self.waiting_by_key: dict[data.TableKey, messages.Revision] = {}
        self.requested_keys: set[data.TableKey] = set()
        self.requested_at = 0.0
        self.batch_keys = BATCH_KEYS


class ValueRequests:
    """Decides which values to request from which instance, and when.

    Args:
        time_source: The clock.
        is_operator_key: Whether a key is written by operators.
        is_newer: Whether a revision is newer than the current one of its key.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        is_operator_key: Callable[[data.TableKey], bool],
        is_newer: Callable[[messages.Revision], bool],
    ):
        self._clock = time_source
        self._is_operator_key = is_operator_key
        self._is_newer = is_newer
        self._request_by_key: dict[data.TableKey, ValueRequest] = {}
        self._announcer_by_instance: dict[data.InstanceId, _Announcer] = {}

    def add(
        self, sender: data.InstanceId, revisions: Iterable[messages.Revision]
    ) -> list[tuple[data.TableKey, ...]]:
        """Records announced revisions; returns the keys to request now, by message."""
        now = self._clock.monotonic()
        self._discard_lost(now)
        announcer = self._announcer_by_instance.setdefault(sender, _Announcer())
        urgent_keys = []
        for revision in revisions:
            if not self._is_newer(revision):
                continue
            if not self._is_operator_key(revision.key):
                announcer.waiting_by_key[revision.key] = revision
            elif self._may_request(revision, now):
                self._record_request(revision, now)
                urgent_keys.append(revision.key)
        batches = [tuple(urgent_keys)] if urgent_keys else []
        return batches + self._next_batch(sender, now)

    def record_values(
        self, sender: data.InstanceId, keys: Iterable[data.TableKey]
    ) -> list[tuple[data.TableKey, ...]]:
        """Records that values have arrived; returns the keys to request now, by message."""
        announcer = self._announcer_by_instance.get(sender)
        if announcer is None:
            return []
        now = self._clock.monotonic()
        if announcer.requested_keys:
            announcer.requested_keys.difference_update(keys)
            if not announcer.requested_keys:
                self._adapt(announcer, now - announcer.requested_at)
        return self._next_batch(sender, now)

    def record_accepted(self, key: data.TableKey) -> None:
        """Records that a value was put in force."""
        self._request_by_key.pop(key, None)

    def record_unreadable(self, packed: messages.PackedTable) -> None:
        """Records that a value could not be read, so that it is requested again only later."""
        repeat_at = self._clock.monotonic() + UNREADABLE_VALUE_INTERVAL_SECONDS
        self._request_by_key[packed.key] = ValueRequest(packed.era, packed.number, repeat_at)

    def _next_batch(self, sender: data.InstanceId, now: float) -> list[tuple[data.TableKey, ...]]:
        """Returns the next batch to request from an instance, unless one is on its way."""
        announcer = self._announcer_by_instance[sender]
        if announcer.requested_keys:
            return []
        is_wanted = (
            revision
            for revision in _drain(announcer.waiting_by_key)
            if self._is_newer(revision) and self._may_request(revision, now)
        )
        batch = list(itertools.islice(is_wanted, announcer.batch_keys))
        if not batch:
            del self._announcer_by_instance[sender]
            return []
        for revision in batch:
            self._record_request(revision, now)
        announcer.requested_keys = {revision.key for revision in batch}
        announcer.requested_at = now
        return [tuple(revision.key for revision in batch)]

    def _may_request(self, revision: messages.Revision, now: float) -> bool:
        """Returns whether a value has not been requested a short time ago."""
        request = self._request_by_key.get(revision.key)
        if request is None or now >= request.repeat_at:
            return True
        return (revision.era, revision.number) > (request.era, request.number)

    def _record_request(self, revision: messages.Revision, now: float) -> None:
        repeat_at = now + VALUE_REQUEST_INTERVAL_SECONDS
        self._request_by_key[revision.key] = ValueRequest(revision.era, revision.number, repeat_at)

    def _discard_lost(self, now: float) -> None:
        """Discards the batches that did not arrive; the next digest shows what is missing."""
        for instance, announcer in list(self._announcer_by_instance.items()):
            if now - announcer.requested_at >= BATCH_TIMEOUT_SECONDS:
                del self._announcer_by_instance[instance]

    @staticmethod
    def _adapt(announcer: _Announcer, seconds: float) -> None:
        """Sets the length of the next batch by the time that the last one took."""
        if seconds < FAST_BATCH_SECONDS:
            announcer.batch_keys = min(BATCH_KEYS_MAX, announcer.batch_keys * 2)
        elif seconds > SLOW_BATCH_SECONDS:
            announcer.batch_keys = max(BATCH_KEYS_MIN, announcer.batch_keys // 2)


def _drain(revision_by_key: dict[data.TableKey, messages.Revision]) -> Iterable[messages.Revision]:
    """Removes and yields the revisions in the order in which they were announced."""
    while revision_by_key:
        yield revision_by_key.pop(next(iter(revision_by_key)))
