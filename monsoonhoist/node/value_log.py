"""Log lines about table values that did not come into force because of a newer one.

The number of lines is bounded, by key and in total; ``monsoonhoist_table_values_total`` counts all
of these values. Values that are merely older have no line if they are from a peer, since the same
values arrive from several peers, or if the one in force is recent: the ranges of the service are
read side by side, and each of two changes in a row may be read twice.
"""

import collections
import logging
from collections.abc import Mapping

from monsoonhoist.core import clock, data
from monsoonhoist.protocol import messages
from monsoonhoist.tables import store

# Minimum interval between two lines about a key.
KEY_INTERVAL_SECONDS = 5.0
# Most lines in any second.
LINES_PER_SECOND_MAX = 5
RATE_PERIOD_SECONDS = 1.0
# Time after which a value in force no longer counts as recent.
RECENT_SECONDS = 1.0

_log = logging.getLogger(__name__)


class _RecentKeys:
    """Keys of the events of a short time.

    Args:
        time_source: The clock.
        period_seconds: How long an event is recent.
    """

    def __init__(self, time_source: clock.Clock, period_seconds: float):
        self._clock = time_source
        self._period_seconds = period_seconds
        # In the order of the times, so that those to be forgotten are first.
        self._time_by_key: collections.OrderedDict[data.TableKey, float] = collections.OrderedDict()

    def add(self, key: data.TableKey) -> None:
        """Records an event of a key."""
        self._forget()
        self._time_by_key[key] = self._clock.monotonic()
        self._time_by_key.move_to_end(key)

    def contains(self, key: data.TableKey) -> bool:
        """Returns whether a key had a recent event."""
        self._forget()
        return key in self._time_by_key

    def count(self) -> int:
        """Returns the number of keys that had a recent event."""
        self._forget()
        return len(self._time_by_key)

    def _forget(self) -> None:
        """Forgets the events that are no longer recent."""
        now = self._clock.monotonic()
        while self._time_by_key:
            key, time_seconds = next(iter(self._time_by_key.items()))
            if now - time_seconds < self._period_seconds:
                return
            del self._time_by_key[key]


class ValueLog:
    """Logs values that did not come into force.

    Args:
        time_source: The clock.
        revision_by_key: The revisions in force.
    """

    def __init__(
        self, time_source: clock.Clock, revision_by_key: Mapping[data.TableKey, messages.Revision]
    ):
        self._revision_by_key = revision_by_key
        self._changed_keys = _RecentKeys(time_source, RECENT_SECONDS)
        self._logged_keys = _RecentKeys(time_source, KEY_INTERVAL_SECONDS)
        self._latest_lines = _RecentKeys(time_source, RATE_PERIOD_SECONDS)
        self._left_out = 0

    def record(self, value: messages.TableValue, acceptance: store.Acceptance, source: str) -> None:
        """Logs what became of a value, if that is worth a line.

        Args:
            value: The value, as it was offered to the store.
            acceptance: What the store did with it.
            source: Where the value is from, ``service`` or ``peer``.
        """
        if acceptance is store.Acceptance.ACCEPTED:
            self._changed_keys.add(value.key)
        if not self._is_unusual(value.key, acceptance, source):
            return
        if not self._may_log(value.key):
            self._left_out += 1
            return
        in_force = self._revision_by_key[value.key]
        extra = {
            "key": value.key,
            "reason": acceptance.value,
            "source": source,
            "number": value.number,
            "era": value.era,
            "in_force_number": in_force.number,
            "in_force_era": in_force.era,
            "left_out": self._left_out,
        }
        level = logging.WARNING if source == "service" else logging.INFO
        _log.log(level, "table value not in force", extra=extra)
        self._left_out = 0

    def _is_unusual(self, key: data.TableKey, acceptance: store.Acceptance, source: str) -> bool:
        """Returns whether a value did not come into force although it was to be expected."""
        if acceptance is store.Acceptance.OLDER:
            return source == "service" and not self._changed_keys.contains(key)
        return acceptance in (store.Acceptance.OF_EARLIER_COPY, store.Acceptance.REMOVED)

    def _may_log(self, key: data.TableKey) -> bool:
        """Returns whether a line about a key is within the bounds, and counts it if so."""
        if self._logged_keys.contains(key) or self._latest_lines.count() >= LINES_PER_SECOND_MAX:
            return False
        self._logged_keys.add(key)
        self._latest_lines.add(key)
        return True
