"""Budget of extra sub-requests."""


class TokenBucket:
    """Grants extra sub-requests as a share of the first ones.

    Each first sub-request earns ``ratio`` tokens and each extra one costs a token. A
    hedge leaves a reserve for retries after failures.
    """

    capacity_tokens = 40.0
    start_tokens = 5.0
    hedge_reserve_tokens = 5.0

    def __init__(self) -> None:
        self._tokens = self.start_tokens

    def earn(self, ratio: float) -> None:
        """Adds the tokens of one first sub-request."""
        self._tokens = min(self.capacity_tokens, self._tokens + ratio)

    def spend_on_retry(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        return self._spend(0.0)

    def spend_on_hedge(self) -> bool:
        """Takes a token for a hedge; returns whether there was one above the reserve."""
        return self._spend(self.hedge_reserve_tokens)

    def _spend(self, reserve: float) -> bool:
        if self._tokens < reserve + 1.0:
            return False
        self._tokens -= 1.0
        return True
