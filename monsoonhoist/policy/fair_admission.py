"""Fair shares of a pool's admission window between callers, and when refused callers may return.

Load: some callers send again immediately and often when they are refused, others return when told
to. A place in a full window goes to whoever asks next, so that the former take nearly all of them.
"""

import bisect
import math

import msgspec

from monsoonhoist.core import data, hashing
from monsoonhoist.policy import admission

# Shares are enforced while at least this share of a rank's places is in use; below it, an unused
# share is available to everybody.
PRESSURE_SHARE = 0.8
# A caller counts as active for this long, and for the longest time to return in addition, after its
# last request; also the interval at which the others are removed.
ACTIVE_SECONDS = 1.0
# Most callers that are remembered for each pool. Further ones share the account of the name "".
CALLERS_MAX = 1024
# Time constant of the rate at which queries end.
DRAIN_SECONDS = 1.0
# Bounds of the time after which a refused caller is told to return, before jitter.
RETURN_MIN_SECONDS = 0.05
RETURN_MAX_SECONDS = 2.0
# Share of the queries in progress that count as ahead of a refused one: half of the time that a
# query takes. After a burst, no place is free before the first of them ends.
ACTIVE_AHEAD_SHARE = 0.5
# Largest deviation from that time, as a share of it.
JITTER_SHARE = 0.25
# A place is kept for a returning caller for this long after the time that it was told.
KEEP_SECONDS = 0.15
# Most returns that are remembered for each rank, and for each caller of a rank.
RETURNS_MAX = 256
RETURNS_OF_CALLER_MAX = 8
# Most places that are kept for returning callers, as a share of a rank's places.
KEPT_SHARE = 0.5
_JITTER_STEPS = 1000


class Verdict(msgspec.Struct, frozen=True):
    """Whether a query is admitted.

    Attributes:
        is_admitted: Whether the query may start.
        is_over_share: Whether it was refused because its caller has its share.
        wait_seconds: Time after which the caller may return; 0 if it was admitted or that time is
            not known.
        account: Name of the caller's account, under which the query is counted until it ends; empty
            for the account that callers share.
    """

    is_admitted: bool
    is_over_share: bool = False
    wait_seconds: float = 0.0
    account: str = ""


class _Caller:
    """A caller of one rank: its queries in progress and when it was told to return."""

    def __init__(self) -> None:
        self.active = 0
        self.seen_at = -math.inf
        self.returns: list[float] = []


class FairAdmission:
    """Divides the places of an admission policy between the callers of each rank.

    Args:
        window: The admission policy of the pool.
    """

    def __init__(self, window: admission.Admission):
        self._window = window
        self._caller_by_key: dict[tuple[data.Rank, str], _Caller] = {}
        # Times of the outstanding returns, sorted, and queries in progress.
        self._returns_by_rank: dict[data.Rank, list[float]] = {rank: [] for rank in data.Rank}
        self._active_by_rank = dict.fromkeys(data.Rank, 0)
        self._callers_by_rank = dict.fromkeys(data.Rank, 0)
        self._expire_at = -math.inf
        self._ended = 0.0
        self._ended_at = -math.inf

    @property
    def caller_count(self) -> int:
        """Number of callers that are remembered, counted once for each rank."""
        return len(self._caller_by_key)

    def admit(self, rank: data.Rank, name: str, request_key: str, now: float) -> Verdict:
        """Admits or refuses a query, and counts it as active if it is admitted.

        Args:
            rank: Rank of the query.
            name: Name of the caller.
            request_key: Text from which the jitter is derived, different for each request.
            now: The time, in monotonic seconds.
        """
        self._expire(now)
        account, caller = self._find_or_create(rank, name)
        caller.seen_at = now
        is_returning = self._take_return(rank, caller, now)
        used, limit = self._window.places(rank)
        is_over_share = False
        if used >= limit * PRESSURE_SHARE:
            is_over_share = not is_returning and caller.active >= self._share(rank)
            due_count = bisect.bisect_right(self._returns_by_rank[rank], now)
            kept = min(due_count, limit * KEPT_SHARE)
            is_kept_out = not is_returning and limit - used <= kept
            if is_over_share or is_kept_out:
                self._window.record_refusal()
                return self._refuse(rank, caller, request_key, is_over_share, now)
        if self._window.admit(rank):
            caller.active += 1
            self._active_by_rank[rank] += 1
            return Verdict(True, account=account)
        return self._refuse(rank, caller, request_key, is_over_share, now)

    def finish(self, rank: data.Rank, account: str, pressure: float, now: float) -> None:
        """Records the end of an admitted query; see ``admission.Admission.finish``.

        Args:
            rank: Rank of the query.
            account: Name of the account under which the query is counted.
            pressure: Queue pressure of the query.
            now: The time, in monotonic seconds.
        """
        self._window.finish(rank, pressure)
        self._ended = self._ended * self._decay(now) + 1.0
        self._ended_at = now
        self._caller_by_key[rank, account].active -= 1
        self._active_by_rank[rank] -= 1

    def _decay(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._ended_at) / DRAIN_SECONDS)

    def _share(self, rank: data.Rank) -> float:
        """Returns how many queries in progress each active caller of a rank may have."""
        return max(1.0, (self._active_by_rank[rank] + 1) / max(1, self._callers_by_rank[rank]))

    def _take_return(self, rank: data.Rank, caller: _Caller, now: float) -> bool:
        """Returns whether a caller returns as it was told to, and removes its earliest return."""
        while caller.returns and caller.returns[0] <= now:
            due = caller.returns.pop(0)
            returns = self._returns_by_rank[rank]
            index = bisect.bisect_left(returns, due)
            # Returns that are overdue have been discarded from the rank's list.
            if index < len(returns) and returns[index] == due:
                del returns[index]
                return True
        return False

    def _refuse(
        self, rank: data.Rank, caller: _Caller, request_key: str, is_over_share: bool, now: float
    ) -> Verdict:
        """Returns a refusal, with the time after which the caller is likely to find a place.

        A caller above its share is told a time for the queries that it has in progress already.
        """
        rate = self._ended * self._decay(now) / DRAIN_SECONDS
        returns = self._returns_by_rank[rank]
        ahead = len(returns) + 1 + (caller.active if is_over_share else 0)
        ahead += self._active_by_rank[rank] * ACTIVE_AHEAD_SHARE
        wait = min(RETURN_MAX_SECONDS, max(RETURN_MIN_SECONDS, ahead / max(rate, 1e-6)))
        fraction = hashing.stable_hash(request_key) % _JITTER_STEPS / _JITTER_STEPS
        wait *= 1.0 - JITTER_SHARE + 2.0 * JITTER_SHARE * fraction
        is_room = len(caller.returns) < RETURNS_OF_CALLER_MAX
        if is_room and not is_over_share and len(returns) < RETURNS_MAX:
            bisect.insort(caller.returns, now + wait)
            bisect.insort(returns, now + wait)
        return Verdict(False, is_over_share, wait)

    def _find_or_create(self, rank: data.Rank, name: str) -> tuple[str, _Caller]:
        """Returns the name of a caller's account and the caller; shared if there are too many."""
        caller = self._caller_by_key.get((rank, name))
        if caller is None and len(self._caller_by_key) >= CALLERS_MAX:
            name = ""
            caller = self._caller_by_key.get((rank, name))
        if caller is None:
            caller = self._caller_by_key[rank, name] = _Caller()
            self._callers_by_rank[rank] += 1
        return name, caller

    def _expire(self, now: float) -> None:
        """Discards returns that are overdue, and from time to time callers without activity."""
        for returns in self._returns_by_rank.values():
            del returns[: bisect.bisect_left(returns, now - KEEP_SECONDS)]
        if now < self._expire_at:
            return
        self._expire_at = now + ACTIVE_SECONDS
        for key, caller in list(self._caller_by_key.items()):
            if not caller.active and now - caller.seen_at > ACTIVE_SECONDS + RETURN_MAX_SECONDS:
                del self._caller_by_key[key]
                self._callers_by_rank[key[0]] -= 1
