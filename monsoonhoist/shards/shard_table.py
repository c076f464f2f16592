"""The shards of an owner, kept up to date with the tables and with what servers say."""

import math
from collections.abc import Iterable

from monsoonhoist.core import data, limits
from monsoonhoist.shards import (
    cold_servers,
    kernel_config,
    server_notices,
    shard,
    slow_start,
    subrequest,
)

ShardKey = tuple[data.PoolId, data.ServiceId]


class ShardTable:
    """States of the shards that an owner has worked for.

    Args:
        policies: Policies of the owner.
        options: Options of the kernels of this instance.

    Attributes:
        notices: What servers have said about themselves.
        starts: Creates the paces of servers that start.
        cold: Cold servers, and the quotas for them.
    """

    def __init__(self, policies: kernel_config.OwnerPolicies, options: kernel_config.KernelOptions):
        self.notices = server_notices.ServerNotices()
        self.cold = cold_servers.ColdServers(policies.ownership, options.cold)
        self.starts = slow_start.SlowStarts(options.make_pace, self.cold)
        self._policies = policies
        self._options = options
        self._tables = data.Tables({}, {})
        self._limit_share = policies.ownership.limit_share(1)
        self._state_by_key: dict[ShardKey, shard.ShardState] = {}

    def __len__(self) -> int:
        """Returns the number of shards."""
        return len(self._state_by_key)

    def get(self, pool: data.PoolId, service: data.ServiceId) -> shard.ShardState:
        """Returns the state of a shard that has work in progress."""
        return self._state_by_key[pool, service]

    def find_or_create(
        self, pool_id: data.PoolId, service: data.ServiceId
    ) -> shard.ShardState | None:
        """Returns a shard's state, created on first use; None if undefined or no server is left."""
        state = self._state_by_key.get((pool_id, service))
        if state is not None:
            return state if state.server_by_id else None
        pool = self._tables.pool_by_id.get(pool_id)
        servers = pool.servers_by_service.get(service) if pool else None
        if servers is None:
            return None
        grace = self._options.leaving_grace_seconds
        queue = self._policies.make_order()
        state = shard.ShardState(pool_id, service, queue, grace, self.notices, self.starts)
        state.keys = shard.fixed_keys(pool, service)
        # It is unknown when leaving servers began to leave; their grace period counts as over.
        state.update(servers, self._limit_share, -math.inf, self._tables.evacuated_zones)
        self._state_by_key[pool_id, service] = state
        return state

    def update(
        self, tables: data.Tables, limit_share: limits.LimitShare, now: float
    ) -> list[shard.ShardState]:
        """Applies newer tables and returns the shards that have changed."""
        zones = tables.evacuated_zones
        is_same_for_all = limit_share == self._limit_share and zones == self._tables.evacuated_zones
        self._tables = tables
        changed: list[shard.ShardState] = []
        for key, state in self._state_by_key.items():
            pool = tables.pool_by_id.get(key[0])
            servers = pool.servers_by_service.get(key[1], ()) if pool else ()
            if not is_same_for_all or not state.is_current(servers):
                state.keys = shard.fixed_keys(pool, key[1]) if pool else state.keys
                state.update(servers, limit_share, now, zones)
                changed.append(state)
        self._limit_share = limit_share
        return changed

    def apply_notice(self, server_id: data.ServerId, now: float) -> list[shard.ShardState]:
        """Applies a server's changed notice and returns the shards that have the server."""
        return [
            state for state in self._state_by_key.values() if state.apply_notice(server_id, now)
        ]

    def mark_cold(self, server_ids: Iterable[data.ServerId], now: float) -> None:
        """Marks servers that have become cold in all shards that have them, and reports each."""
        for server_id in server_ids:
            shards = self._state_by_key.values()
            found = [
                state.server_by_id[server_id] for state in shards if server_id in state.server_by_id
            ]
            cold = self.cold.find(found[0].server) if found else None
            if cold is not None:
                self.starts.report(cold.describe(now))
                for server_state in found:
                    server_state.mark_cold(cold, now)

    def prune(self, open_subs: Iterable[subrequest.SubRequest], now: float) -> None:
        """Removes old notices, and shards without work that the tables no longer define.

        Args:
            open_subs: Sub-requests that are open or have calls in flight.
            now: The time, in monotonic seconds.
        """
        self.notices.prune(self._tables, now)
        busy_keys = {(sub.query.pool, sub.service) for sub in open_subs}
        for key, state in list(self._state_by_key.items()):
            pool = self._tables.pool_by_id.get(key[0])
            is_defined = pool is not None and key[1] in pool.servers_by_service
            if not is_defined and key not in busy_keys and not state.server_by_id:
                del self._state_by_key[key]
