"""Budgets of extra calls: all that go beyond the first call for each shard of a query.

The limit is one for all instances together: in any window a shard may get a fixed number of
extra calls and, besides, a share of the first calls. Only the entry of a query spends, so that
hedges, retries, lost owners and runs at another snapshot draw on the same budget.
"""

import math
from collections.abc import Iterable

import msgspec

from monsoonhoist.core import data, hashing

SAMPLE_STEPS = 2**32
# Parts of the allowance that instances may hold at most, that come in over a window, and that
# an instance has at its start. Together they leave room for two starts of all instances in one
# window.
CAPACITY_SHARE = 0.45
REFILL_SHARE = 0.35
INITIAL_SHARE = 0.1
# Largest share of the first calls that hedges are planned for: beyond it calls would be made
# twice that take no longer than most.
HEDGE_SHARE_MAX = 0.45


class BudgetOptions(msgspec.Struct, frozen=True):
    """Size of the budgets.

    Attributes:
        allowance: Extra calls that all instances together may make in a window, besides a
            share of the first calls.
        window_seconds: Length of the window.
        hedge_reserve: Share of the tokens held at most that hedges leave for retries.
        refusals_cost: Whether sending again after a refusal that ran nothing costs a
            token.
        hedges_use_allowance: Whether hedges may use the allowance as well; else they use only
            the share of the first calls, and the allowance is for retries.
    """

    allowance: float = 40.0
    window_seconds: float = 10.0
    hedge_reserve: float = 0.15
    refusals_cost: bool = False
    hedges_use_allowance: bool = False


class TokenBucket:
    """Grants extra calls from one instance's share of a budget.

    A part of the allowance may be held at most, and another part comes in over a window, so that
    no window has more than the whole. An instance begins with a small part and what has come in
    since it started, so that many that start anew bring few tokens with them.

    Args:
        options: Size of the budget.
        share: Share of the allowance that this instance may use, from 0 to 1.
        started_at: Start of the instance, in monotonic seconds.
    """

    def __init__(self, options: BudgetOptions, share: float, started_at: float):
        self._options = options
        self._share = share
        # Tokens of the allowance, and those of first calls.
        self._tokens = options.allowance * INITIAL_SHARE * share
        self._earned = 0.0
        self._refilled_at = started_at
        # Recent first calls, each counting less the older it is.
        self._decayed_first_calls = 0.0
        self._latest_first_call_at = started_at
        self._earliest_first_call_at = math.inf

    @property
    def _capacity(self) -> float:
        return self._options.allowance * CAPACITY_SHARE * self._share

    def set_share(self, share: float, now: float) -> None:
        """Takes over the share of the allowance after instances came or went."""
        self._refill(now)
        self._share = share
        self._cap_tokens()

    @property
    def _refill_rate(self) -> float:
        """Tokens that come in each second."""
        return self._options.allowance * REFILL_SHARE * self._share / self._options.window_seconds

    def earn(self, tokens: float, now: float) -> None:
        """Adds the tokens of a first call."""
        self._refill(now)
        self._earned += tokens
        self._cap_tokens()
        self._earliest_first_call_at = min(self._earliest_first_call_at, now)
        age = (now - self._latest_first_call_at) / self._options.window_seconds
        self._decayed_first_calls = self._decayed_first_calls * math.exp(-age) + 1.0
        self._latest_first_call_at = now

    def affordable_share(self, ratio: float) -> float:
        """Returns the extra calls that can be made, as a share of the recent first ones.

        Args:
            ratio: Tokens that a first call earns.
        """
        window = self._options.window_seconds
        observed = window * -math.expm1(
            (self._earliest_first_call_at - self._latest_first_call_at) / window
        )
        if observed <= 0.0 or not self._options.hedges_use_allowance:
            return ratio
        first_rate = self._decayed_first_calls / observed
        return max(ratio, min(HEDGE_SHARE_MAX, ratio + self._refill_rate / first_rate))

    def try_spend(self, is_hedge: bool, sample: float, now: float) -> bool:
        """Takes a token; returns whether there was one.

        Where less than a token is left, all of it is taken, and the call is granted with a
        probability of as much: many instances with a small share each then grant together
        what one with their whole share would.

        Args:
            is_hedge: Whether a reserve is left for retries.
            sample: Evenly distributed number from 0 to 1.
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
        """Returns the tokens that a call may use."""
        if not is_hedge:
            return self._tokens + self._earned
        if not self._options.hedges_use_allowance:
            return self._earned
        return self._tokens + self._earned - self._capacity * self._options.hedge_reserve

    def _refill(self, now: float) -> None:
        """Adds the part of the allowance that has come in since the last time."""
        self._tokens += self._refill_rate * (now - self._refilled_at)
        self._refilled_at = now
        self._cap_tokens()

    def _cap_tokens(self) -> None:
        """Drops the tokens beyond what may be held, those of the allowance first."""
        self._earned = min(self._earned, self._capacity)
        self._tokens = min(self._tokens, self._capacity - self._earned)


class ShardBudgets:
    """The budgets that one entry spends from, one for each shard.

    Args:
        options: Size of the budgets.
    """

    def __init__(self, options: BudgetOptions):
        self._options = options
        self._started_at = 0.0
        self._share = 0.0
        self._bucket_by_service: dict[data.ServiceId, TokenBucket] = {}

    @property
    def refusals_cost(self) -> bool:
        """Whether sending again after a refusal that ran nothing costs a token."""
        return self._options.refusals_cost

    def set_share(self, share: float, now: float) -> None:
        """Takes over the share of the budgets that this instance may use."""
        if not self._share:
            self._started_at = now
        if share == self._share:
            return
        self._share = share
        for bucket in self._bucket_by_service.values():
            bucket.set_share(share, now)

    def earn(self, route: data.Route, services: Iterable[data.ServiceId], now: float) -> None:
        """Adds the tokens of the first calls of a query."""
        for service in services:
            self._bucket(service).earn(route.hedge_budget, now)

    def affordable_share(self, route: data.Route, service: data.ServiceId) -> float:
        """Returns the share of a route's first calls that may be made a second time."""
        if not route.hedge_budget:
            return 0.0
        return self._bucket(service).affordable_share(route.hedge_budget)

    def try_spend(
        self, service: data.ServiceId, query_id: data.QueryId, is_hedge: bool, now: float
    ) -> bool:
        """Takes a token for a call beyond the first; returns whether there was one."""
        sample = hashing.weight(query_id, service) % SAMPLE_STEPS / SAMPLE_STEPS
        return self._bucket(service).try_spend(is_hedge, sample, now)

    def _bucket(self, service: data.ServiceId) -> TokenBucket:
        bucket = self._bucket_by_service.get(service)
        if bucket is None:
            bucket = TokenBucket(self._options, self._share, self._started_at)
            self._bucket_by_service[service] = bucket
        return bucket
