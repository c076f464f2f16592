"""Log lines about table values that did not come into force because of a newer one.

The number of lines is bounded, by key and in total; ``monsoonhoist_table_values_total`` counts all
of these values. A peer's value that is merely older has no line, since the same values arrive from
several peers.
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

LOGGED_FROM_SERVICE = frozenset(
    (store.Acceptance.OLDER, store.Acceptance.OF_EARLIER_COPY, store.Acceptance.REMOVED)
)
LOGGED_FROM_PEERS = frozenset((store.Acceptance.OF_EARLIER_COPY, store.Acceptance.REMOVED))

_log = logging.getLogger(__name__)


class ValueLog:
    """Logs values that did not come into force.

    Args:
        time_source: The clock.
        revision_by_key: The revisions in force.
    """

    def __init__(
        self, time_source: clock.Clock, revision_by_key: Mapping[data.TableKey, messages.Revision]
    ):
        self._clock = time_source
        self._revision_by_key = revision_by_key
        # The keys and times of the latest lines, oldest first.
        self._logged_at_by_key: collections.OrderedDict[data.TableKey, float] = (
            collections.OrderedDict()
        )
        self._left_out = 0

    def record(self, value: messages.TableValue, acceptance: store.Acceptance, source: str) -> None:
        """Logs what became of a value, if that is worth a line.

        Args:
            value: The value, as it was offered to the store.
            acceptance: What the store did with it.
            source: Where the value is from, ``service`` or ``peer``.
        """
        is_from_service = source == "service"
        if acceptance not in (LOGGED_FROM_SERVICE if is_from_service else LOGGED_FROM_PEERS):
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
        level = logging.WARNING if is_from_service else logging.INFO
        _log.log(level, "table value not in force", extra=extra)
        self._left_out = 0

    def _may_log(self, key: data.TableKey) -> bool:
        """Returns whether a line about a key is within the bounds, and counts it if so."""
        now = self._clock.monotonic()
        self._forget_before(now - KEY_INTERVAL_SECONDS)
        if key in self._logged_at_by_key:
            return False
        latest = list(self._logged_at_by_key.values())[-LINES_PER_SECOND_MAX:]
        if len(latest) == LINES_PER_SECOND_MAX and now - latest[0] < RATE_PERIOD_SECONDS:
            return False
        self._logged_at_by_key[key] = now
        return True

    def _forget_before(self, time_seconds: float) -> None:
        """Forgets the lines that were written up to a time, in monotonic seconds."""
        while self._logged_at_by_key:
            key, logged_at = next(iter(self._logged_at_by_key.items()))
            if logged_at > time_seconds:
                return
            del self._logged_at_by_key[key]
