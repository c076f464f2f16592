"""The owner's state of one backend server: limits, health and latency."""

import math
from collections.abc import Iterable, Sequence

from monsoonhoist.core import data, exchange
from monsoonhoist.policy import pace
from monsoonhoist.shards import cold_servers, slow_start

BACKOFF_MIN_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 5.0
DRAINING_UNAVAILABLE_SECONDS = 10.0
# Age beyond which a server's report of its snapshots is ignored, so that the server is
# called again and sends a new one.
HOLDINGS_MAX_AGE_SECONDS = 0.5
SUCCESSES_PER_LIMIT_STEP = 4
# Weight of the newest call in the smoothed latency, which estimates how long a reply takes
# (exponential moving average).
LATENCY_WEIGHT = 0.1
# Weight of the newest call in the smoothed slowness, which ranks servers. Larger than the
# latency's, so that a server that has become slow is avoided after a few calls.
SLOWNESS_WEIGHT = 0.3
# Time constant with which the slowness of a server that is not called decays to 1, the
# median, so that the server is tried from time to time.
SLOWNESS_DECAY_SECONDS = 3.0
# Initial slowness of a server added to a shard that already had servers. Below 1, the median, so
# that the server is tried although another has recently been a little faster than the median.
ADDED_SERVER_SLOWNESS = 0.75
# Weight of the newest call in the failure share, and the time constant with which the share
# decays while the server is not called.
FAILURE_WEIGHT = 0.2
FAILURE_DECAY_SECONDS = 2.5
# A failure share below this counts as 0, so that a server that is idle because it failed is
# tried again.
FAILURE_SHARE_MIN = 0.1


class ServerState:
    """Limits, health and latency of a backend server, as observed by its owner.

    Args:
        server: The server's record in the table.
        limit_max: Upper bound of ``limit``.
        starts: Creates the paces of servers that start.

    Attributes:
        server: The server's record in the table.
        pace: Its slow start.
        cold: State of its warm-up; None if there is none.
        latency_seconds: Smoothed latency of calls; 0 while unknown.
        holdings: Snapshots that the server last reported to hold; empty if unknown.
        started_at_by_call_id: Start of each call in flight, in monotonic seconds, oldest first.
    """

    def __init__(self, server: data.Server, limit_max: int, starts: slow_start.SlowStarts):
        self.server = server
        self.pace = slow_start.ServerPace(server, starts)
        self.cold = starts.find_cold(server)
        self.latency_seconds = 0.0
        self.holdings: tuple[data.Holding, ...] = ()
        self.started_at_by_call_id: dict[int, float] = {}
        self._holdings_updated_at = -math.inf
        self._limit_max = limit_max
        self._limit = 1
        self._successes = 0
        self._consecutive_failures = 0
        self._backoff_until = 0.0
        self._draining_until = 0.0
        self._wait_until = 0.0
        self._leaving_since: float | None = None
        self._is_unlisted = False
        self._is_evacuated = False
        self._slowness = 1.0
        self._slowness_updated_at = -math.inf
        self._failure_share = 0.0
        self._failure_share_updated_at = -math.inf

    @property
    def limit(self) -> int:
        """Most calls that may be in flight; grows from 1 to ``limit_max`` with successes."""
        return self._limit

    @property
    def outstanding(self) -> int:
        """Number of calls in flight."""
        return len(self.started_at_by_call_id)

    def update(self, server: data.Server, limit_max: int) -> None:
        """Applies the server's record from a newer table; its address is unchanged."""
        self.server = server
        self._limit_max = limit_max
        self._limit = min(self._limit, limit_max)

    def mark_leaving(self, now: float) -> None:
        """Records that the server is leaving."""
        if self._leaving_since is None:
            self._leaving_since = now

    def mark_unlisted(self, now: float) -> None:
        """Records that the table no longer lists the server."""
        self.mark_leaving(now)
        self._is_unlisted = True

    def mark_added(self, now: float) -> None:
        """Records that the server was added to a shard that already had servers."""
        self._slowness = ADDED_SERVER_SLOWNESS
        self.pace.begin(slow_start.Cause.ADDED, now)

    def mark_in_service(self, now: float) -> None:
        """Records that the table lists the server and does not mark it as leaving.

        A server that is listed again counts as added: what was learned before may be over.
        """
        self._leaving_since = None
        if self._is_unlisted:
            self._is_unlisted = False
            self._forget_health(now)

    def set_evacuated(self, is_evacuated: bool, now: float) -> None:
        """Records whether the server's zone is evacuated, so that it receives nothing new.

        A server that is back in service counts as added and starts with a limit of one call.
        """
        if self._is_evacuated and not is_evacuated:
            self._forget_health(now)
            self._limit = 1
            self._successes = 0
        self._is_evacuated = is_evacuated

    def _forget_health(self, now: float) -> None:
        """Discards what was learned of a server that was out of service; it starts slowly."""
        self._slowness = ADDED_SERVER_SLOWNESS
        self._slowness_updated_at = -math.inf
        self._failure_share = 0.0
        self._backoff_until = 0.0
        self._consecutive_failures = 0
        self.pace.begin(slow_start.Cause.LISTED, now)

    def is_available(self, now: float) -> bool:
        """Returns whether new calls may be sent to the server."""
        return self._leaving_since is None and now >= self.available_at()

    def is_last_resort(self, now: float, grace_seconds: float) -> bool:
        """Returns whether a leaving server may still be called if no other is available."""
        if self._leaving_since is None or now < self.available_at():
            return False
        return now - self._leaving_since < grace_seconds

    def available_at(self) -> float:
        """Returns when backoff, draining and requested wait end, in monotonic seconds.

        The time is infinite while the server's zone is evacuated.
        """
        if self._is_evacuated:
            return math.inf
        return max(self._backoff_until, self._draining_until, self._wait_until)

    @property
    def is_leaving(self) -> bool:
        """Whether the table marks the server as leaving or no longer lists it."""
        return self._leaving_since is not None

    @property
    def is_evacuated(self) -> bool:
        """Whether the server's zone is evacuated."""
        return self._is_evacuated

    def has_capacity(self, now: float) -> bool:
        """Returns whether one more call is within the limit and, if it is cold, within a quota."""
        if len(self.started_at_by_call_id) >= self._limit:
            return False
        return self.cold is None or self.cold.may_call(now)

    def mark_cold(self, cold: cold_servers.ColdState, now: float) -> None:
        """Records that the server has become cold."""
        self.cold = cold
        self.pace.begin(slow_start.Cause.COLD, now)

    def may_hold(self, snapshot: data.Snapshot, now: float) -> bool:
        """Returns False only if a recent report shows that the server lacks the snapshot."""
        if (
            snapshot == data.LATEST_SNAPSHOT
            or now - self._holdings_updated_at > HOLDINGS_MAX_AGE_SECONDS
        ):
            return True
        return any(holding.snapshot == snapshot for holding in self.holdings)

    def update_holdings(self, holdings: tuple[data.Holding, ...], now: float) -> None:
        """Stores the snapshots that the server reports; an empty report changes nothing."""
        if holdings:
            self.holdings = holdings
            self._holdings_updated_at = now

    def slowness(self, now: float, median_seconds: float) -> float:
        """Returns the expected latency as a multiple of the median.

        Args:
            now: The time, in monotonic seconds.
            median_seconds: Median latency of the route's calls; 0 if unknown.
        """
        idle_seconds = now - self._slowness_updated_at
        decayed = 1.0 + (self._slowness - 1.0) * math.exp(
            -max(0.0, idle_seconds) / SLOWNESS_DECAY_SECONDS
        )
        # The initial slowness does not decay before the first latency is recorded.
        if idle_seconds == math.inf:
            decayed = self._slowness
        if not self.started_at_by_call_id or median_seconds <= 0.0:
            return decayed
        oldest_age_seconds = now - next(iter(self.started_at_by_call_id.values()))
        return max(decayed, oldest_age_seconds / median_seconds)

    def failure_share(self, now: float) -> float:
        """Returns the expected share of calls that fail, from 0 to 1."""
        idle_seconds = max(0.0, now - self._failure_share_updated_at)
        decayed = self._failure_share * math.exp(-idle_seconds / FAILURE_DECAY_SECONDS)
        return decayed if decayed >= FAILURE_SHARE_MIN else 0.0

    def record_outcome(self, has_failed: bool, now: float) -> None:
        """Updates the failure share with the outcome of a call."""
        before = self.failure_share(now)
        self._failure_share = before + (float(has_failed) - before) * FAILURE_WEIGHT
        self._failure_share_updated_at = now

    def record_reply(
        self,
        latency_seconds: float,
        median_seconds: float,
        load: exchange.Load | None,
        now: float,
    ) -> None:
        """Updates limit, latency, slowness and pace after a reply; resets the failure count."""
        self.record_outcome(False, now)
        self.pace.record_reply(latency_seconds, median_seconds, load, now)
        self._consecutive_failures = 0
        self._successes += 1
        if self._limit < self._limit_max and self._successes % SUCCESSES_PER_LIMIT_STEP == 0:
            self._limit += 1
        change = latency_seconds - self.latency_seconds
        self.latency_seconds += change * LATENCY_WEIGHT
        self._update_slowness(latency_seconds, median_seconds, now)

    def record_unanswered(self, age_seconds: float, median_seconds: float, now: float) -> None:
        """Raises latency and slowness if a call without a reply took longer than they predict."""
        self.pace.record_unanswered(age_seconds, median_seconds, now)
        if age_seconds > self.latency_seconds:
            self.latency_seconds += (age_seconds - self.latency_seconds) * LATENCY_WEIGHT
        if age_seconds > median_seconds * self.slowness(now, 0.0):
            self._update_slowness(age_seconds, median_seconds, now)

    def record_failure(self, now: float) -> None:
        """Starts a backoff, which doubles with each consecutive failure, and resets the limit."""
        self._consecutive_failures += 1
        backoff = BACKOFF_MIN_SECONDS * 2.0 ** (self._consecutive_failures - 1)
        self._backoff_until = now + min(BACKOFF_MAX_SECONDS, backoff)
        self._limit = 1
        self._successes = 0
        self.pace.record_failure(now)

    def record_wrong_server(self, now: float) -> None:
        """Starts the longest backoff, because another server answers at this address."""
        self._backoff_until = now + BACKOFF_MAX_SECONDS

    def record_shed(self, now: float) -> None:
        """Lowers the limit by one after a refusal due to the server's load or connections."""
        self._limit = max(1, self._limit - 1)
        self._successes = 0
        self.pace.record_refusal(now)

    def record_draining(self, now: float) -> None:
        """Makes the server unavailable for a fixed time after it reported that it is draining."""
        self._draining_until = now + DRAINING_UNAVAILABLE_SECONDS

    def wait_until(self, until: float) -> None:
        """Makes the server unavailable until a time, in monotonic seconds, as it has requested."""
        self._wait_until = max(self._wait_until, until)

    def _update_slowness(self, latency_seconds: float, median_seconds: float, now: float) -> None:
        if median_seconds > 0.0:
            before = self.slowness(now, 0.0)
            ratio = latency_seconds / median_seconds
            self._slowness = before + (ratio - before) * SLOWNESS_WEIGHT
            self._slowness_updated_at = now


def is_any_starting(states: Iterable[ServerState]) -> bool:
    """Returns whether any of some servers receives less than its usual load."""
    return any(state.pace.current is not None for state in states)


def select_by_pace(
    states: Sequence[ServerState], query: data.QueryId, now: float
) -> Sequence[ServerState]:
    """Returns the servers that a query may be sent to, by the paces of those that start.

    If all servers start, those with less than half of the largest share are left out.

    Args:
        states: Untried servers of the shard that are available.
        query: The query.
        now: The time, in monotonic seconds.
    """
    for state in states:
        if state.pace.current is not None:
            break
    else:
        return states
    largest = max(state.pace.share(now) for state in states)
    if largest < pace.FULL_SHARE:
        return [state for state in states if state.pace.share(now) >= largest / 2]
    position = pace.position_of(query)
    count = len(states)
    return [
        state
        for state in states
        if state.pace.lets_through(position, count, not state.outstanding, now)
    ]
