"""Durations of the calls of each route, by which an owner decides which work is still useful.

Load: routes whose calls take different times share the servers of a shard, and the servers pause.
The smoothed latency of a server mixes both routes, so that urgent work that may still be in time is
refused, and other work is started that cannot be.
"""

import collections
import math
from collections.abc import Container

from monsoonhoist.core import clock, data, scheduling
from monsoonhoist.protocol import events
from monsoonhoist.shards import subrequest

# Number of the latest calls of a route that are used, and the least number needed.
SAMPLES_MAX = 64
SAMPLES_MIN = 8
# Number of new calls after which the usual time is updated.
REFRESH_SAMPLES = 16
# Calls older than this are not used for the shortest time, since servers may have become faster.
SHORTEST_MAX_AGE_SECONDS = 5.0
# A call may take this share of the shortest recent time: work that may be in time must not be
# refused because the recent calls were a little slower.
SHORTEST_SHARE = 0.8

RouteKey = tuple[data.PoolId, data.RouteId]


class CallTimes:
    """Durations of the latest successful calls of each pool and route.

    Args:
        time_source: The clock.
        is_enabled: Whether these times decide about work; if not, they are not recorded.
    """

    def __init__(self, time_source: clock.Clock, is_enabled: bool):
        self._clock = time_source
        self._is_enabled = is_enabled
        self._times_by_route: dict[RouteKey, _RouteTimes] = {}

    def record(self, sub: subrequest.SubRequest, seconds: float) -> None:
        """Records the duration of a call that returned results."""
        if not self._is_enabled:
            return
        key = (sub.query.pool, sub.query.route)
        times = self._times_by_route.get(key)
        if times is None:
            times = self._times_by_route[key] = _RouteTimes()
        times.record(self._clock.monotonic(), seconds)

    def usual_seconds(self, sub: subrequest.SubRequest) -> float:
        """Returns the median duration of the calls of a sub-request's route; 0 if unknown."""
        times = self._times_by_route.get((sub.query.pool, sub.query.route))
        return times.usual_seconds if times is not None else 0.0

    def start_by(self, sub: subrequest.SubRequest) -> float:
        """Returns when a call must start to be expected within the goal, in monotonic seconds."""
        return sub.goal_at - self.usual_seconds(sub) if self._is_enabled else math.inf

    def is_too_late(
        self,
        sub: subrequest.SubRequest,
        commands: list[events.Command],
        otherwise: bool = False,
    ) -> bool:
        """Returns whether the result of a call that starts now would arrive after the deadline.

        Always False when the sub-request has just arrived, since only calls show that servers have
        become fast again.

        Args:
            sub: The sub-request.
            commands: The command that counts the decision is appended to this list.
            otherwise: The result if these times decide nothing.
        """
        if not self._is_enabled:
            return otherwise
        now = self._clock.monotonic()
        times = self._times_by_route.get((sub.query.pool, sub.query.route))
        if now <= sub.arrived_at or times is None:
            return False
        if now + times.shortest_seconds(now) * SHORTEST_SHARE < sub.deadline:
            return False
        decision = scheduling.Decision.NOT_STARTED
        commands.append(subrequest.make_decision(sub, decision, now, sub.deadline))
        return True

    def note_start(self, sub: subrequest.SubRequest, commands: list[events.Command]) -> None:
        """Counts a call whose result is expected only after the goal."""
        now = self._clock.monotonic()
        if now > sub.start_by:
            decision = scheduling.Decision.STARTED_LATE
            commands.append(subrequest.make_decision(sub, decision, now, sub.goal_at))

    def retain(self, routes: Container[data.RouteId]) -> None:
        """Discards the times of routes that are not among those given."""
        for key in list(self._times_by_route):
            if key[1] not in routes:
                del self._times_by_route[key]


class _RouteTimes:
    """Durations of the latest calls of a route."""

    def __init__(self) -> None:
        self.usual_seconds = 0.0
        self._samples: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=SAMPLES_MAX
        )
        self._count = 0

    def record(self, now: float, seconds: float) -> None:
        """Records a duration, and updates the usual one after each few."""
        self._samples.append((now, seconds))
        self._count += 1
        if self._count % REFRESH_SAMPLES == 0:
            durations = sorted(duration for _, duration in self._samples)
            self.usual_seconds = durations[len(durations) // 2]

    def shortest_seconds(self, now: float) -> float:
        """Returns the shortest recent duration; 0 with too few recent ones."""
        since = now - SHORTEST_MAX_AGE_SECONDS
        recent = [duration for at, duration in self._samples if at >= since]
        return min(recent, default=math.inf) if len(recent) >= SAMPLES_MIN else 0.0
