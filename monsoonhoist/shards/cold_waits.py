"""Waits of an owner's sub-requests for the quotas of cold servers."""

import math

from monsoonhoist.core import data
from monsoonhoist.protocol import events, server_events
from monsoonhoist.shards import server, server_waits, shard, subrequest, timers

# Share of its remaining time that a sub-request may wait for a quota.
WAIT_SHARE = 0.5


class QuotaWaits:
    """Refuses sub-requests that would wait too long, and dispatches shards when a quota allows.

    Args:
        timer_queue: Timers of the owner.
        dispatch: Starts calls at a shard.
        fail: Fails a sub-request.
    """

    def __init__(
        self,
        timer_queue: timers.TimerQueue,
        dispatch: server_waits.Dispatch,
        fail: server_waits.Fail,
    ):
        self._timers = timer_queue
        self._dispatch = dispatch
        self._fail = fail
        self._wake_at_by_shard: dict[tuple[data.PoolId, data.ServiceId], float] = {}

    def update(self, state: shard.ShardState, now: float, commands: list[events.Command]) -> None:
        """Refuses what would wait too long for a quota, and schedules the next dispatch."""
        limited = find_limited(state, now)
        if not limited:
            return
        first_at = min(found.cold.current_quota(now).next_call_at(now) for found in limited)
        usable = sum(found.is_available(now) for found in state.server_by_id.values())
        if len(limited) == usable:
            for sub in pop_late(state, limited, now):
                commands.append(server_events.CountQuotaRefusal())
                self._fail(state, sub, data.Refusal.NO_SERVER, commands)
        if state.queued_count and now < first_at < math.inf:
            self._schedule(state, first_at)

    def _schedule(self, state: shard.ShardState, wake_at: float) -> None:
        """Schedules a dispatch, unless the shard already waits for one at this time."""
        key = (state.pool, state.service)
        if self._wake_at_by_shard.get(key) == wake_at:
            return
        self._wake_at_by_shard[key] = wake_at

        def wake_up(commands: list[events.Command]) -> None:
            if self._wake_at_by_shard.get(key) == wake_at:
                del self._wake_at_by_shard[key]
                self._dispatch(state, commands)

        self._timers.schedule(wake_at, wake_up)


def find_limited(state: shard.ShardState, now: float) -> list[server.ServerState]:
    """Returns the available servers of a shard that are called within a quota."""
    return [
        found
        for found in state.server_by_id.values()
        if found.cold is not None and found.is_available(now) and found.cold.is_limited(now)
    ]


def pop_late(
    state: shard.ShardState, limited: list[server.ServerState], now: float
) -> list[subrequest.SubRequest]:
    """Removes the queued sub-requests that would wait too long, if all servers have quotas.

    The queue serves by rank, so that the lower ranks are refused first.

    Args:
        state: The shard.
        limited: Its available servers.
        now: The time, in monotonic seconds.
    """
    quotas = [found.cold.current_quota(now) for found in limited]
    warm_at = min(quota.cold_until for quota in quotas)
    call_times = sorted(at for quota in quotas for at in quota.call_times(now) if at < warm_at)
    late: list[subrequest.SubRequest] = []
    waiting: list[subrequest.SubRequest] = []
    while (sub := state.pop()) is not None:
        call_at = call_times[len(waiting)] if len(waiting) < len(call_times) else warm_at
        is_late = call_at - now > (sub.deadline - now) * WAIT_SHARE
        (late if is_late else waiting).append(sub)
    for sub in waiting:
        state.push(sub)
    return late
