"""Which instances watch the configuration service.

A few instances watch; the others hear of changes from them. Every instance knows the
newest word of the service, its own or one that a peer has passed on with a heartbeat. One
that hears nothing for too long watches for itself, the first in the order of the instances
first, so that an outage of the service does not bring all of them.
"""

import math

from monsoonhoist.core import data, messages

MS_PER_SECOND = 1000


class WatcherSelection:
    """Decides whether this instance should watch now.

    Args:
        myself: This instance.
        watchers: Number of instances that always watch.
        stale_seconds: Age of the newest word of the service from which the next
            instances in the order watch as well.
        step_seconds: What each further place in the order adds to that age.
    """

    def __init__(
        self, instance: data.InstanceId, watchers: int, stale_seconds: float, step_seconds: float
    ):
        self._myself = instance
        self._watchers = watchers
        self._stale_seconds = stale_seconds
        self._step_seconds = step_seconds
        self._read_at = -math.inf
        self._heard_at = -math.inf
        self._heard_from = instance
        self._started_at: float | None = None

    def record_read(self, now: float) -> None:
        """Takes note of an answer of the service to this instance."""
        self._read_at = now

    def record_contact(self, word: messages.ServiceContact, now: float) -> None:
        """Takes note of a peer's newest word, unless it is this instance's own."""
        at = now - word.age_ms / MS_PER_SECOND
        if word.reader != self._myself and at > self._heard_at:
            self._heard_at = at
            self._heard_from = word.reader

    def latest_contact(self, now: float) -> messages.ServiceContact | None:
        """Returns the newest word, or None before any."""
        at = max(self._read_at, self._heard_at)
        if math.isinf(at):
            return None
        reader = self._myself if at == self._read_at else self._heard_from
        return messages.ServiceContact(reader, int((now - at) * MS_PER_SECOND))

    def is_needed(self, position: int, now: float) -> bool:
        """Returns whether this instance should watch.

        Args:
            position: Place in the order of the live instances, from 0.
            now: The time, in monotonic seconds.
        """
        if position < self._watchers:
            return True
        if self._started_at is None:
            self._started_at = now
        heard = max(self._heard_at, self._started_at)
        patience = self._stale_seconds + (position - self._watchers) * self._step_seconds
        return now - heard > patience
