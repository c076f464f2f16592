"""When a gathered query is answered with the parts that are there, and when it waits for more.

Load: answers are gathered from many shards. The worth of an answer is the square of the share of
shards in it; after the goal it falls to half of that at once, and then further. An answer that is
sent a fixed time before the goal leaves out parts that would have arrived in time. A late answer
that is sent as soon as it has the minimum coverage lacks parts that arrive shortly after.
"""

import collections
import math

from monsoonhoist.core import scheduling
from monsoonhoist.protocol import events
from monsoonhoist.queries import plan, query

# Number of the latest timers whose lag is used, and the least number needed.
LAGS_MAX = 64
LAGS_MIN = 16
# Number of new lags after which the quantile is updated.
REFRESH_LAGS = 8
# Quantile of the lag that is added to the time for delivery.
LAG_QUANTILE = 0.9
# Worth of an answer directly after its goal and at its deadline, as shares of its worth within the
# goal.
LATE_WORTH_MAX = 0.5
LATE_WORTH_MIN = 0.05
# Share of the break-even time that a late query waits, since missing parts may not come at all.
WAIT_SHARE = 0.5
MS_PER_SECOND = 1000


class AnswerTiming:
    """Decides when a query with the minimum coverage is answered.

    Args:
        options: Mechanisms that are enabled.
    """

    def __init__(self, options: scheduling.Options):
        self._is_enabled = options.answer_timing
        self._delivery_seconds = options.delivery_ms / MS_PER_SECOND
        self._lags: collections.deque[float] = collections.deque(maxlen=LAGS_MAX)
        self._lag_count = 0
        self._lag_seconds: float | None = None

    def record_lag(self, seconds: float) -> None:
        """Records how late a timer was handled, because the instance was busy."""
        if not self._is_enabled:
            return
        self._lags.append(max(0.0, seconds))
        self._lag_count += 1
        if len(self._lags) >= LAGS_MIN and self._lag_count % REFRESH_LAGS == 0:
            self._lag_seconds = sorted(self._lags)[int(len(self._lags) * LAG_QUANTILE)]

    def margin_seconds(self, shard_count: int) -> float:
        """Returns how long before the goal a partial answer must be decided on, in seconds."""
        if not self._is_enabled:
            return plan.GOAL_MARGIN_SECONDS + shard_count * plan.GOAL_MARGIN_PER_SHARD_SECONDS
        lag = self._lag_seconds
        if lag is None:
            lag = shard_count * plan.GOAL_MARGIN_PER_SHARD_SECONDS
        return self._delivery_seconds + lag

    def wait_until(self, state: query.QueryState, now: float) -> float:
        """Returns until when a query with the minimum coverage waits for more parts.

        Args:
            state: A query that may be answered with the parts that it has.
            now: The time, in monotonic seconds.

        Returns:
            The time, in monotonic seconds; ``now`` or earlier to answer at once.
        """
        if not self._is_enabled or state.goal_at == math.inf:
            return now
        worth = state.coverage().share ** 2
        if now + self._delivery_seconds / 2 <= state.goal_at and worth >= LATE_WORTH_MAX:
            return now
        return min(state.deadline, state.goal_at + _late_wait_seconds(state, worth))

    def count_answer(self, state: query.QueryState, now: float) -> tuple[events.CountDecision, ...]:
        """Returns the commands that count an answer which is late or lacks parts."""
        if not self._is_enabled or state.goal_at == math.inf:
            return ()
        decision = scheduling.Decision.ANSWERED_PARTLY
        if now > state.goal_at:
            decision = scheduling.Decision.ANSWERED_LATE
        elif not state.missing_services():
            return ()
        left_seconds = state.goal_at - now
        age_ms = int((state.route.goal.total_seconds() - left_seconds) * MS_PER_SECOND)
        left_ms = int(left_seconds * MS_PER_SECOND)
        count = events.CountDecision(state.spec.query_id, decision, age_ms=age_ms, left_ms=left_ms)
        return (count,)


def _late_wait_seconds(state: query.QueryState, worth: float) -> float:
    """Returns how long after its goal a query waits for the parts that are missing.

    The worth of a late answer falls exponentially until the deadline. Waiting pays for as long as
    the missing parts add more to the square of the share than the delay takes away.
    """
    late_seconds = state.deadline - state.goal_at
    if worth <= 0.0 or late_seconds <= 0.0:
        return 0.0
    decay_per_second = math.log(LATE_WORTH_MAX / LATE_WORTH_MIN) / late_seconds
    return WAIT_SHARE * math.log(1.0 / worth) / decay_per_second
