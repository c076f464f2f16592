"""Policies that decide after which delay a call is hedged by one more call.

Hedged requests: Dean and Barroso, "The Tail at Scale", Communications of the ACM 56(2),
2013.
"""

import abc
import collections

from hdrh import histogram

from monsoonhoist.policy import registry

# Range and precision of the latency histograms, in microseconds and significant decimal digits.
LATENCY_MIN_US = 1
LATENCY_MAX_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000


class Hedge(abc.ABC):
    """Determines the delay of hedges from the latencies of past calls."""

    @abc.abstractmethod
    def record(self, latency_seconds: float) -> None:
        """Records the latency of a call."""

    @abc.abstractmethod
    def delay_seconds(self, budget: float) -> float | None:
        """Returns the delay after which to hedge, in seconds, or None for no hedge.

        Args:
            budget: Number of hedges allowed, as a share of the number of first calls.
        """

    @abc.abstractmethod
    def median_seconds(self) -> float:
        """Returns the median latency in seconds, or 0 if it is unknown."""


@registry.register(registry.Kind.HEDGE, "quantile")
class QuantileHedge(Hedge):
    """Hedges the slowest calls, about as many as the budget allows.

    The delay is the quantile of recent latencies at one minus the budget, or a multiple of the
    median if that is shorter and the share of calls slower than it, the stragglers, is not much
    larger than the budget. If the share of stragglers equals the budget, the quantile alone would
    be the latency of a straggler.
    """

    # Least number of samples in a histogram from which quantiles are taken, and number of new
    # samples after which the quantiles are updated.
    minimum_samples = 50
    # Number of samples after which a new histogram is started.
    window_samples = 1000
    # Latency above which a call is a straggler, as a multiple of the median.
    median_multiple = 3.0
    # Largest share of stragglers at which that latency is the delay, as a multiple of the budget.
    budget_multiple = 1.5

    def __init__(self) -> None:
        self._recent = _histogram()
        self._previous = _histogram()
        self._delay_by_budget: dict[float, float | None] = {}
        self._median_seconds: float | None = None

    def record(self, latency_seconds: float) -> None:
        """Records a latency and starts a new histogram after each full window."""
        self._recent.record_value(max(1, int(latency_seconds * MICROSECONDS_PER_SECOND)))
        count = self._recent.get_total_count()
        if count % self.minimum_samples == 0:
            self._delay_by_budget.clear()
            self._median_seconds = None
        if count >= self.window_samples:
            self._previous = self._recent
            self._recent = _histogram()

    def delay_seconds(self, budget: float) -> float | None:
        """Returns the delay in seconds, or None without a budget or enough samples."""
        if budget <= 0:
            return None
        if budget not in self._delay_by_budget:
            self._delay_by_budget[budget] = self._delay(budget)
        return self._delay_by_budget[budget]

    def median_seconds(self) -> float:
        """Returns the median latency, or 0 without enough samples."""
        if self._median_seconds is None:
            self._median_seconds = self._quantile(0.5) or 0.0
        return self._median_seconds

    def _delay(self, budget: float) -> float | None:
        delay = self._quantile(1.0 - budget)
        if delay is None:
            return None
        median_delay = self._quantile(0.5) * self.median_multiple
        # If this lower quantile does not exceed ``median_delay``, the share of calls slower than
        # ``median_delay`` is at most ``budget_multiple`` times the budget.
        lower_quantile = self._quantile(1.0 - self.budget_multiple * budget)
        return min(delay, median_delay) if lower_quantile <= median_delay else delay

    def _quantile(self, quantile: float) -> float | None:
        samples = self._previous
        if self._recent.get_total_count() >= self.minimum_samples:
            samples = self._recent
        if samples.get_total_count() < self.minimum_samples:
            return None
        return samples.get_value_at_percentile(quantile * 100) / MICROSECONDS_PER_SECOND


@registry.register(registry.Kind.HEDGE, "none")
class NoHedge(Hedge):
    """Never hedges; a baseline for measurements."""

    def record(self, latency_seconds: float) -> None:
        """Does nothing."""

    def delay_seconds(self, budget: float) -> float | None:
        """Returns None."""
        return None

    def median_seconds(self) -> float:
        """Returns 0."""
        return 0.0


@registry.register(registry.Kind.HEDGE, "recent-quantile")
class RecentQuantileHedge(Hedge):
    """Hedges after a quantile of the most recent latencies that depends on the budget.

    The quantile is one minus ``budget_factor`` times the budget. The factor is below one, so that
    fewer calls are due for a hedge: at the quantile of one minus the budget, hedges would spend the
    whole budget even if no call failed. Calls that are not hedged, because no server is free, earn
    tokens too. The token bucket limits the number of hedges in any case.
    """

    # Number of the most recent latencies that are used.
    window_samples = 240
    # Least number of samples from which quantiles are taken.
    minimum_samples = 30
    # Number of new samples after which the quantiles are updated.
    refresh_samples = 15
    # Share of the calls that are slower than the hedge delay, as a multiple of the budget.
    budget_factor = 2.0 / 3.0
    # Hedge delay that is used until there are enough samples.
    initial_delay_seconds = 0.06

    def __init__(self) -> None:
        self._latencies: collections.deque[float] = collections.deque(maxlen=self.window_samples)
        self._count = 0
        self._sorted: list[float] = []

    def record(self, latency_seconds: float) -> None:
        """Records a latency."""
        self._latencies.append(latency_seconds)
        self._count += 1
        if self._count % self.refresh_samples == 0:
            self._sorted = sorted(self._latencies)

    def delay_seconds(self, budget: float) -> float | None:
        """Returns the delay in seconds, or None without a budget."""
        if budget <= 0:
            return None
        if len(self._sorted) < self.minimum_samples:
            return self.initial_delay_seconds
        quantile = 1.0 - budget * self.budget_factor
        return self._sorted[int(len(self._sorted) * quantile)]

    def median_seconds(self) -> float:
        """Returns the median latency, or 0 without enough samples."""
        if len(self._sorted) < self.minimum_samples:
            return 0.0
        return self._sorted[len(self._sorted) // 2]


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LATENCY_MIN_US, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
