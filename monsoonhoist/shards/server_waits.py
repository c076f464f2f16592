"""Waits of an owner's sub-requests for servers that are not available now.

Load: all servers of a shard fail or ask for a wait at once. A sub-request waits only if a server is
available early enough to be of use; otherwise it is refused at once.
"""

from collections.abc import Callable

from monsoonhoist.core import data
from monsoonhoist.protocol import events
from monsoonhoist.shards import shard, subrequest, timers

# Share of its remaining time that a sub-request may wait for a server to become available.
UNAVAILABLE_WAIT_SHARE = 0.25

Dispatch = Callable[[shard.ShardState, list[events.Command]], None]
Fail = Callable[[shard.ShardState, subrequest.SubRequest, data.Refusal, list[events.Command]], None]


class ServerWaits:
    """Decides which sub-requests wait for servers, and schedules their next dispatch.

    Args:
        timer_queue: Timers of the owner.
        dispatch: Starts calls of a shard.
        fail: Fails a sub-request.
    """

    def __init__(self, timer_queue: timers.TimerQueue, dispatch: Dispatch, fail: Fail):
        self._timers = timer_queue
        self._dispatch = dispatch
        self._fail = fail

    def may_wait(self, state: shard.ShardState, sub: subrequest.SubRequest, now: float) -> bool:
        """Returns whether a sub-request may wait for an untried server to become available."""
        available_at = state.next_untried_at(sub, now)
        if available_at - now > (sub.deadline - now) * UNAVAILABLE_WAIT_SHARE:
            return False
        self._timers.schedule(available_at, lambda out: self._dispatch(state, out))
        return True

    def refuse_unserved(
        self, state: shard.ShardState, now: float, commands: list[events.Command]
    ) -> None:
        """Refuses queued sub-requests if no server is available now or soon."""
        if not state.queued_count or state.is_any_available(now):
            return
        available_at = state.available_at()
        waiting: list[subrequest.SubRequest] = []
        while (sub := state.pop()) is not None:
            if available_at - now <= (sub.deadline - now) * UNAVAILABLE_WAIT_SHARE:
                waiting.append(sub)
            else:
                self._fail(state, sub, data.Refusal.NO_SERVER, commands)
        for sub in waiting:
            state.push(sub)
        if waiting:
            self._timers.schedule(available_at, lambda out: self._dispatch(state, out))
