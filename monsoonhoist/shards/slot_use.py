"""Which slots of servers the parts of lower ranks may use while urgent work shares the servers.

Load: urgent parts share servers that have few slots with normal parts that take several times as
long. Normal parts that fill all slots delay an urgent part by more than its own work takes.
"""

import math

from monsoonhoist.core import clock, data, scheduling
from monsoonhoist.protocol import events
from monsoonhoist.shards import open_work, server, subrequest

# Share of a server's slots that the ranks below the urgent one may use, at least one slot.
LOWER_RANK_SLOT_SHARE = 0.5
# The limit holds while the owner has had urgent work of the pool within this time.
URGENT_ACTIVITY_SECONDS = 2.0


class SlotUse:
    """Limits the calls of lower ranks at each server.

    Args:
        time_source: The clock.
        work: The calls in flight.
        is_enabled: Whether calls are limited.
    """

    def __init__(self, time_source: clock.Clock, work: open_work.OpenWork, is_enabled: bool):
        self._clock = time_source
        self._work = work
        self._is_enabled = is_enabled
        self._urgent_at_by_pool: dict[data.PoolId, float] = {}

    def allowed(
        self, sub: subrequest.SubRequest, states: list[server.ServerState]
    ) -> list[server.ServerState]:
        """Returns those of the servers at which a sub-request's rank may use one more slot."""
        if not self._is_enabled:
            return states
        now = self._clock.monotonic()
        if sub.query.rank is data.Rank.URGENT:
            self._urgent_at_by_pool[sub.query.pool] = now
            return states
        urgent_at = self._urgent_at_by_pool.get(sub.query.pool, -math.inf)
        if now - urgent_at > URGENT_ACTIVITY_SECONDS:
            return states
        return [state for state in states if self._has_slot_for_lower(state)]

    def _has_slot_for_lower(self, state: server.ServerState) -> bool:
        """Returns whether the calls of lower ranks use less than their share of the slots."""
        lower = sum(
            call.sub.query.rank is not data.Rank.URGENT for call in self._work.calls_of(state)
        )
        return lower < max(1, int(state.server.slots * LOWER_RANK_SLOT_SHARE))

    def note_held(
        self,
        sub: subrequest.SubRequest,
        free: list[server.ServerState],
        commands: list[events.Command],
    ) -> None:
        """Counts, once, a sub-request that waits although a server has a free slot.

        Args:
            sub: The sub-request.
            free: Servers with free capacity.
            commands: The command that counts the decision is appended to this list.
        """
        if free and self._is_enabled and not sub.is_held:
            sub.is_held = True
            now = self._clock.monotonic()
            held = scheduling.Decision.RANK_HELD
            commands.append(subrequest.make_decision(sub, held, now, sub.goal_at))

    def retain(self, tables: data.Tables) -> None:
        """Discards what is known of pools that the tables no longer define."""
        for pool in list(self._urgent_at_by_pool):
            if pool not in tables.pool_by_id:
                del self._urgent_at_by_pool[pool]
