"""State of one backend server at its owner."""

import math

from monsoonhoist.core import data

BACKOFF_MIN_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 5.0
DRAINING_UNAVAILABLE_SECONDS = 10.0
# Age from which a server's word on its snapshots is asked for again.
HOLDINGS_MAX_AGE_SECONDS = 0.5
SUCCESSES_PER_LIMIT_STEP = 4
# Weight of the newest reply in the smoothed latency, which estimates the time of a reply.
LATENCY_WEIGHT = 0.1
# Weight of the newest reply in the smoothed slowness, which ranks servers: larger, so
# that a server that has become slow is avoided after a few calls.
SLOWNESS_WEIGHT = 0.3
# A server that is not called is taken for usual again with this time constant, so that
# it is tried now and then.
SLOWNESS_DECAY_SECONDS = 3.0
# Slowness of a server that has come beside known ones and has not replied yet: it is tried
# although another one has lately been a little faster than usual.
ADDED_SERVER_SLOWNESS = 0.75
# Weight of the newest call in the share of failures, and the time constant with which
# that share fades while the server is not called.
FAILURE_WEIGHT = 0.2
FAILURE_DECAY_SECONDS = 2.5
# A share of failures below this is taken for none, so that a server that is idle because
# it failed is tried again.
FAILURE_SHARE_MIN = 0.1


class ServerState:
    """What an owner knows of a backend server.

    Args:
        server: The server as in the table.
        limit_max: Most calls that may be in flight.
        is_added: Whether the shard had other servers before.

    Attributes:
        server: The server as in the table.
        latency_seconds: Smoothed latency of replies.
        holdings: Snapshots that the server said it holds; empty if unknown.
        started_by_call: Start of each call in flight, oldest first.
    """

    def __init__(self, server: data.Server, limit_max: int, is_added: bool = False):
        self.server = server
        self.latency_seconds = 0.0
        self.holdings: tuple[data.Holding, ...] = ()
        self.started_by_call: dict[int, float] = {}
        self._holdings_updated_at = -math.inf
        self._limit_max = limit_max
        self._limit = 1
        self._successes = 0
        self._consecutive_failures = 0
        self._backoff_until = 0.0
        self._draining_until = 0.0
        self._leaving_since: float | None = None
        self._slowness = ADDED_SERVER_SLOWNESS if is_added else 1.0
        self._slowness_updated_at = -math.inf
        self._failure_share = 0.0
        self._failure_share_updated_at = -math.inf

    @property
    def limit(self) -> int:
        """Calls that may be in flight; grows from 1 to the most allowed."""
        return self._limit

    @property
    def outstanding(self) -> int:
        """Number of calls in flight."""
        return len(self.started_by_call)

    def update(self, server: data.Server, limit_max: int) -> None:
        """Takes over the server's record from a newer table; the address is the same."""
        self.server = server
        self._limit_max = limit_max
        self._limit = min(self._limit, limit_max)

    def mark_leaving(self, now: float) -> None:
        """Takes note that the table takes the server out of service."""
        if self._leaving_since is None:
            self._leaving_since = now

    def mark_in_service(self) -> None:
        """Takes note that the table has the server in service."""
        self._leaving_since = None

    def is_available(self, now: float) -> bool:
        """Returns whether new calls may be made."""
        return self._leaving_since is None and now >= self.available_at()

    def is_last_resort(self, now: float, grace_seconds: float) -> bool:
        """Returns whether a server that left lately may still be called."""
        if self._leaving_since is None or now < self._backoff_until:
            return False
        return now - self._leaving_since < grace_seconds

    def available_at(self) -> float:
        """Returns when a closed server may be tried again, in monotonic seconds."""
        return max(self._backoff_until, self._draining_until)

    @property
    def is_leaving(self) -> bool:
        """Whether the table takes the server out of service."""
        return self._leaving_since is not None

    def has_room(self) -> bool:
        """Returns whether one more call is within the limit."""
        return len(self.started_by_call) < self._limit

    def may_hold(self, snapshot: data.Snapshot, now: float) -> bool:
        """Returns whether the server holds a snapshot or has not said so lately."""
        if (
            snapshot == data.LATEST_SNAPSHOT
            or now - self._holdings_updated_at > HOLDINGS_MAX_AGE_SECONDS
        ):
            return True
        return any(holding.snapshot == snapshot for holding in self.holdings)

    def update_holdings(self, holdings: tuple[data.Holding, ...], now: float) -> None:
        """Takes note of the snapshots that the server named."""
        if holdings:
            self.holdings = holdings
            self._holdings_updated_at = now

    def slowness(self, now: float, typical_seconds: float) -> float:
        """Returns the expected latency as a multiple of the usual one.

        Args:
            now: The time, in monotonic seconds.
            typical_seconds: Usual latency of calls like the one to be made; 0 if unknown.
        """
        idle = now - self._slowness_updated_at
        faded = 1.0 + (self._slowness - 1.0) * math.exp(-max(0.0, idle) / SLOWNESS_DECAY_SECONDS)
        if idle == math.inf:
            faded = self._slowness
        if not self.started_by_call or typical_seconds <= 0.0:
            return faded
        oldest = now - next(iter(self.started_by_call.values()))
        return max(faded, oldest / typical_seconds)

    def failure_share(self, now: float) -> float:
        """Returns the expected share of calls that fail, from 0 to 1."""
        idle = max(0.0, now - self._failure_share_updated_at)
        faded = self._failure_share * math.exp(-idle / FAILURE_DECAY_SECONDS)
        return faded if faded >= FAILURE_SHARE_MIN else 0.0

    def record_outcome(self, has_failed: bool, now: float) -> None:
        """Takes note of whether a call failed, for whatever reason of the server's."""
        before = self.failure_share(now)
        self._failure_share = before + (float(has_failed) - before) * FAILURE_WEIGHT
        self._failure_share_updated_at = now

    def record_reply(self, latency_seconds: float, typical_seconds: float, now: float) -> None:
        """Takes note of a reply."""
        self.record_outcome(False, now)
        self._consecutive_failures = 0
        self._successes += 1
        if self._limit < self._limit_max and self._successes % SUCCESSES_PER_LIMIT_STEP == 0:
            self._limit += 1
        change = latency_seconds - self.latency_seconds
        self.latency_seconds += change * LATENCY_WEIGHT
        self._update_slowness(latency_seconds, typical_seconds, now)

    def record_abandoned(self, age_seconds: float, typical_seconds: float, now: float) -> None:
        """Takes note of a call that was given up at an age without a reply."""
        if age_seconds > self.latency_seconds:
            self.latency_seconds += (age_seconds - self.latency_seconds) * LATENCY_WEIGHT
        if age_seconds > typical_seconds * self.slowness(now, 0.0):
            self._update_slowness(age_seconds, typical_seconds, now)

    def record_failure(self, now: float) -> None:
        """Closes the server for a while, longer after each failure in a row."""
        self._consecutive_failures += 1
        backoff = BACKOFF_MIN_SECONDS * 2.0 ** (self._consecutive_failures - 1)
        self._backoff_until = now + min(BACKOFF_MAX_SECONDS, backoff)
        self._limit = 1
        self._successes = 0

    def record_wrong_server(self, now: float) -> None:
        """Closes the server for long: another one answers at its address."""
        self._backoff_until = now + BACKOFF_MAX_SECONDS

    def record_shed(self) -> None:
        """Lowers the limit after the server refused a call for load."""
        self._limit = max(1, self._limit - 1)
        self._successes = 0

    def record_draining(self, now: float) -> None:
        """Closes the server because it said that it is leaving."""
        self._draining_until = now + DRAINING_UNAVAILABLE_SECONDS

    def _update_slowness(self, latency_seconds: float, typical_seconds: float, now: float) -> None:
        if typical_seconds > 0.0:
            before = self.slowness(now, 0.0)
            ratio = latency_seconds / typical_seconds
            self._slowness = before + (ratio - before) * SLOWNESS_WEIGHT
            self._slowness_updated_at = now
