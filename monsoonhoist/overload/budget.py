"""Token buckets that limit extra calls: those beyond the first call for each shard of a query.

One budget applies to all instances together: in any window a shard may receive a fixed number of
extra calls plus a share of the number of first calls. Only the entry of a query spends tokens, so
hedges, retries, calls after the loss of an owner and reruns at another snapshot all draw on the
same budget.
"""

import math
from collections.abc import Container, Iterable

import msgspec

from monsoonhoist.core import data, hashing

# Number of distinct pseudo-random samples.
SAMPLE_STEPS = 2**32
# Shares of the allowance: the capacity of the bucket, what is refilled over one window, and the
# initial content. The capacity, the refill and two starts of all instances within one window
# together stay within the allowance.
CAPACITY_SHARE = 0.45
REFILL_SHARE = 0.35
INITIAL_SHARE = 0.1
# Upper bound to which the allowance raises the share of a route's first calls that are hedged. A
# larger share would hedge calls that take no longer than most.
HEDGE_SHARE_MAX = 0.45


class BudgetOptions(msgspec.Struct, frozen=True):
    """Size of the budgets.

    Attributes:
        allowance: Extra calls to a shard that all instances together may make in a window, in
            addition to a share of the first calls.
        window_seconds: Length of the window.
        hedge_reserve: Share of the bucket's capacity that hedges leave for retries.
        refusals_cost: Whether an owner's retry after a refusal that ran nothing costs a token.
        hedges_use_allowance: Whether hedges may use the allowance as well; otherwise they use only
            the tokens of first calls, and the allowance is for retries.
    """

    allowance: float = 40.0
    window_seconds: float = 10.0
    hedge_reserve: float = 0.15
    refusals_cost: bool = False
    hedges_use_allowance: bool = False


class TokenBucket:
    """Token bucket for one instance's share of a shard's budget.

    The capacity and the refill over one window are together less than the allowance, so that no
    more tokens of the allowance are spent in any window than it has. An instance begins with a
    small part of the allowance plus the refill since its start, so that a restart of many instances
    adds few tokens.

    Args:
        options: Size of the budgets.
        share: Share of the allowance that this instance may use, from 0 to 1.
        started_at: Time from which the bucket is refilled, in monotonic seconds.
    """

    def __init__(self, options: BudgetOptions, share: float, started_at: float):
        self._options = options
        self._share = share
        self._capacity = options.allowance * CAPACITY_SHARE * share
        # Tokens from the allowance; ``_earned`` holds those from first calls.
        self._tokens = options.allowance * INITIAL_SHARE * share
        self._earned = 0.0
        self._refilled_at = started_at
        # Number of recent first calls, each with a weight that decays exponentially with its age.
        self._decayed_first_calls = 0.0
        self._latest_first_call_at = started_at
        self._earliest_first_call_at = math.inf

    @property
    def refilled_at(self) -> float:
        """When the bucket was last used or refilled, in monotonic seconds."""
        return self._refilled_at

    def set_share(self, share: float, now: float) -> None:
        """Sets this instance's share of the allowance after the number of instances changed."""
        self._refill(now)
        self._share = share
        self._capacity = self._options.allowance * CAPACITY_SHARE * share
        self._cap_tokens()

    @property
    def _refill_rate(self) -> float:
        """Tokens of the allowance added per second."""
        return self._options.allowance * REFILL_SHARE * self._share / self._options.window_seconds

    def earn(self, tokens: float, now: float) -> None:
        """Adds the tokens that one first call earns."""
        self._earned += tokens
        self._refill(now)
        self._earliest_first_call_at = min(self._earliest_first_call_at, now)
        age = (now - self._latest_first_call_at) / self._options.window_seconds
        self._decayed_first_calls = self._decayed_first_calls * math.exp(-age) + 1.0
        self._latest_first_call_at = now

    def hedge_share(self, hedge_budget: float) -> float:
        """Returns the share of the first calls that the earned and refilled tokens can hedge.

        Args:
            hedge_budget: Tokens earned per first call.
        """
        window = self._options.window_seconds
        # Length of the observed time, with the same exponential decay as the first calls.
        observed_seconds = window * -math.expm1(
            (self._earliest_first_call_at - self._latest_first_call_at) / window
        )
        if observed_seconds <= 0.0 or not self._options.hedges_use_allowance:
            return hedge_budget
        first_call_rate = self._decayed_first_calls / observed_seconds
        return max(
            hedge_budget, min(HEDGE_SHARE_MAX, hedge_budget + self._refill_rate / first_call_rate)
        )

    def try_spend(self, is_hedge: bool, sample: float, now: float) -> bool:
        """Takes a token and returns whether an extra call is granted.

        If less than one token is left, the remaining fraction is taken and the call is granted
        with that probability: many instances with small shares then grant on average as many calls
        as one instance with the sum of their shares.

        Args:
            is_hedge: Whether the call is a hedge, which must leave a reserve for retries.
            sample: Pseudo-random number, uniformly distributed over [0, 1).
            now: The time, in monotonic seconds.
        """
        self._refill(now)
        available = min(1.0, self._available_tokens(is_hedge))
        if available <= 0.0:
            return False
        from_earned = min(available, self._earned)
        self._earned -= from_earned
        self._tokens -= available - from_earned
        return sample < available

    def _available_tokens(self, is_hedge: bool) -> float:
        """Returns the number of tokens that a call may use."""
        if not is_hedge:
            return self._tokens + self._earned
        if not self._options.hedges_use_allowance:
            return self._earned
        return self._tokens + self._earned - self._capacity * self._options.hedge_reserve

    def _refill(self, now: float) -> None:
        """Adds the tokens of the allowance for the time since the last refill."""
        self._tokens += self._refill_rate * (now - self._refilled_at)
        self._refilled_at = now
        self._cap_tokens()

    def _cap_tokens(self) -> None:
        """Discards tokens beyond the capacity, those of the allowance first."""
        self._earned = min(self._earned, self._capacity)
        self._tokens = min(self._tokens, self._capacity - self._earned)


class ShardBudgets:
    """Token buckets of one entry, one for each shard.

    Args:
        options: Size of the budgets.
    """

    def __init__(self, options: BudgetOptions):
        self._options = options
        self._started_at = 0.0
        self._share = 0.0
        self._bucket_by_service: dict[data.ServiceId, TokenBucket] = {}

    def __len__(self) -> int:
        """Returns the number of services that have a bucket."""
        return len(self._bucket_by_service)

    @property
    def refusals_cost(self) -> bool:
        """Whether an owner's retry after a refusal that ran nothing costs a token."""
        return self._options.refusals_cost

    def set_share(self, share: float, now: float) -> None:
        """Sets the share of the budgets that this instance may use, from 0 to 1."""
        # Buckets are refilled from the time of the first share, even those created later.
        if not self._share:
            self._started_at = now
        if share == self._share:
            return
        self._share = share
        for bucket in self._bucket_by_service.values():
            bucket.set_share(share, now)

    def prune(self, services: Container[data.ServiceId], now: float) -> None:
        """Removes the buckets of services that are not given and were not used for a window.

        A bucket that is unused for a window is full again, as is a new one.
        """
        for service, bucket in list(self._bucket_by_service.items()):
            idle_seconds = now - bucket.refilled_at
            if service not in services and idle_seconds > self._options.window_seconds:
                del self._bucket_by_service[service]

    def earn(self, route: data.Route, services: Iterable[data.ServiceId], now: float) -> None:
        """Adds the tokens that the first calls of a query earn."""
        for service in services:
            self._bucket(service).earn(route.hedge_budget, now)

    def hedge_share(self, route: data.Route, service: data.ServiceId) -> float:
        """Returns the share of a route's first calls to a shard that the budget can hedge."""
        if not route.hedge_budget:
            return 0.0
        return self._bucket(service).hedge_share(route.hedge_budget)

    def try_spend(
        self, service: data.ServiceId, query_id: data.QueryId, is_hedge: bool, now: float
    ) -> bool:
        """Takes a token for an extra call and returns whether the call is granted."""
        sample = hashing.stable_hash(query_id, service) % SAMPLE_STEPS / SAMPLE_STEPS
        return self._bucket(service).try_spend(is_hedge, sample, now)

    def _bucket(self, service: data.ServiceId) -> TokenBucket:
        bucket = self._bucket_by_service.get(service)
        if bucket is None:
            bucket = TokenBucket(self._options, self._share, self._started_at)
            self._bucket_by_service[service] = bucket
        return bucket
