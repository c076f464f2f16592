"""Eras of the configuration service, and the time for which a new one is unsettled.

The service may be restored from a backup. Changes that it had acknowledged since are then lost, and
their revision numbers are used again. Its replies state how often this has happened, as its era.
Operators and servers repeat the lost changes shortly after, so that the values of the backup mean
little until then.
"""

import math

from monsoonhoist.core import clock
from monsoonhoist.protocol import messages

# Era of a value or a reply for which none is stated; it counts as of the newest known era.
UNSTATED = messages.UNSTATED_ERA
# Time after the first sign of an era within which lost changes are expected to be repeated.
SETTLE_SECONDS = 2.2


class Eras:
    """Newest known era of the configuration service.

    Args:
        time_source: The clock.

    Attributes:
        newest: The newest known era; ``UNSTATED`` before any is stated.
        settled_at: When the newest era is settled, in monotonic seconds.
    """

    def __init__(self, time_source: clock.Clock):
        self.newest = UNSTATED
        self.settled_at = -math.inf
        self._clock = time_source

    def record(self, era: int) -> None:
        """Records the era that a value or a reply states."""
        if era > self.newest:
            self.newest = era
            self.settled_at = self._clock.monotonic() + SETTLE_SECONDS

    def record_settled(self, era: int) -> None:
        """Records the era that is settled for another instance; ``UNSTATED`` for none."""
        if era != UNSTATED and era >= self.newest:
            self.newest = era
            self.settled_at = -math.inf

    def settled_era(self) -> int:
        """Returns the newest known era if it is settled, and ``UNSTATED`` otherwise."""
        return self.newest if self.is_settled() else UNSTATED

    def is_settled(self) -> bool:
        """Returns whether the time in which lost changes are expected to be repeated is over."""
        return self._clock.monotonic() >= self.settled_at

    def seconds_to_settle(self) -> float:
        """Returns the time until the newest era is settled, in seconds; 0 if it is."""
        return max(0.0, self.settled_at - self._clock.monotonic())

    def is_outdated(self, era: int) -> bool:
        """Returns whether an era is stated, and a newer one is known."""
        return UNSTATED < era < self.newest

    def resolve(self, era: int) -> int:
        """Returns an era, or the newest known one if it is not stated."""
        return era if era != UNSTATED else self.newest
