"""Budget of extra sub-requests."""

import msgspec


class BudgetOptions(msgspec.Struct, frozen=True):
    """Size of the budgets.

    Attributes:
        capacity_tokens: Most tokens that all instances may hold together for one budget.
        start_tokens: Tokens of a new budget, at most.
        hedge_reserve_tokens: Tokens that hedges leave for retries after failures.
        by_service: Whether each shard has a budget of its own; else each route has one.
        refusals_cost: Whether sending again after a refusal that ran nothing costs a
            token.
    """

    capacity_tokens: float = 40.0
    start_tokens: float = 5.0
    hedge_reserve_tokens: float = 5.0
    by_service: bool = False
    refusals_cost: bool = False


class TokenBucket:
    """Grants extra sub-requests as a share of the first ones.

    Each first sub-request earns ``ratio`` tokens and each extra one costs a token. A
    hedge leaves a reserve for retries after failures.

    Args:
        options: Size of the budget.
        share: Share of the capacity that this instance may use, from 0 to 1.
    """

    def __init__(self, options: BudgetOptions | None = None, share: float = 1.0):
        self._options = options or BudgetOptions()
        self._share = share
        self._tokens = min(self._options.start_tokens, self._capacity)

    @property
    def _capacity(self) -> float:
        return self._options.capacity_tokens * self._share

    def set_share(self, share: float) -> None:
        """Takes over the share of the capacity after instances came or went."""
        self._share = share
        self._tokens = min(self._tokens, self._capacity)

    def earn(self, ratio: float) -> None:
        """Adds the tokens of one first sub-request."""
        self._tokens = min(self._capacity, self._tokens + ratio)

    def spend_on_retry(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        return self._spend(0.0)

    def spend_on_hedge(self) -> bool:
        """Takes a token for a hedge; returns whether there was one above the reserve."""
        return self._spend(self._options.hedge_reserve_tokens * self._share)

    def _spend(self, reserve: float) -> bool:
        if self._tokens < reserve + 1.0:
            return False
        self._tokens -= 1.0
        return True
