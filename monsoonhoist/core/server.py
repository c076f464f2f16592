"""State of one backend server at its owner."""

import math

from monsoonhoist.core import data

LATENCY_WEIGHT = 0.1
BACKOFF_MIN_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 5.0
DRAIN_MEMORY_SECONDS = 10.0
# Age from which a server's word on its snapshots is asked for again.
HOLDINGS_FRESH_SECONDS = 0.5
SUCCESSES_PER_STEP = 4
# Share of a server's connections that one owner uses, so that two instances that both
# believe themselves the owner stay within the limit together.
CONNECTION_SHARE = 0.5


class ServerState:
    """What an owner knows of a backend server.

    Attributes:
        server: The server as in the table.
        outstanding: Calls in flight.
        latency_seconds: Smoothed latency of replies.
        holdings: Snapshots that the server said it holds; empty if unknown.
    """

    def __init__(self, server: data.Server, share: float):
        self.server = server
        self.outstanding = 0
        self.latency_seconds = 0.0
        self.holdings: tuple[data.Holding, ...] = ()
        self._learned_at = -math.inf
        self._share = share
        self._limit = 1
        self._successes = 0
        self._failures = 0
        self._closed_until = 0.0
        self._draining_until = 0.0

    @property
    def limit(self) -> int:
        """Calls that may be in flight; grows from 1 to the server's slots."""
        return self._limit

    def update(self, server: data.Server, share: float) -> None:
        """Takes over the server's record from a newer table; the address is the same."""
        self.server = server
        self._share = share
        self._limit = min(self._limit, self._ceiling())

    def is_open(self, now: float) -> bool:
        """Returns whether new calls may be made."""
        closed = max(self._closed_until, self._draining_until)
        return not self.server.leaving and now >= closed

    def opens_at(self) -> float:
        """Returns when a closed server may be tried again, in monotonic seconds."""
        return max(self._closed_until, self._draining_until)

    def has_room(self, now: float) -> bool:
        """Returns whether a call may start now."""
        return self.outstanding < self._limit and self.is_open(now)

    def may_hold(self, snapshot: data.Snapshot, now: float) -> bool:
        """Returns whether the server holds a snapshot or has not said so lately."""
        if snapshot == data.LATEST_SNAPSHOT or now - self._learned_at > HOLDINGS_FRESH_SECONDS:
            return True
        return any(holding.snapshot == snapshot for holding in self.holdings)

    def learn(self, holdings: tuple[data.Holding, ...], now: float) -> None:
        """Takes note of the snapshots that the server named."""
        if holdings:
            self.holdings = holdings
            self._learned_at = now

    def note_success(self, latency_seconds: float) -> None:
        """Takes note of a reply."""
        self._failures = 0
        self._successes += 1
        if self._limit < self._ceiling() and self._successes % SUCCESSES_PER_STEP == 0:
            self._limit += 1
        change = latency_seconds - self.latency_seconds
        self.latency_seconds += change * LATENCY_WEIGHT

    def note_late(self, age_seconds: float) -> None:
        """Takes note of a call that was given up at an age without a reply."""
        if age_seconds > self.latency_seconds:
            self.latency_seconds += (age_seconds - self.latency_seconds) * LATENCY_WEIGHT

    def note_failure(self, now: float) -> None:
        """Closes the server for a while, longer after each failure in a row."""
        self._failures += 1
        backoff = BACKOFF_MIN_SECONDS * 2.0 ** (self._failures - 1)
        self._closed_until = now + min(BACKOFF_MAX_SECONDS, backoff)
        self._limit = 1
        self._successes = 0

    def note_shed(self) -> None:
        """Lowers the limit after the server refused a call for load."""
        self._limit = max(1, self._limit - 1)
        self._successes = 0

    def note_draining(self, now: float) -> None:
        """Closes the server because it said that it is leaving."""
        self._draining_until = now + DRAIN_MEMORY_SECONDS

    def _ceiling(self) -> int:
        """Returns the most calls that this instance may have in flight."""
        by_connections = int(self.server.connections * CONNECTION_SHARE)
        return max(1, min(int(self.server.slots * self._share), by_connections))
