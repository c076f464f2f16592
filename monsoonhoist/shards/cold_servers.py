"""Cold servers of an owner: how long each stays cold, and its quota for this instance."""

import math

from monsoonhoist.core import data, placement
from monsoonhoist.overload import cold_quota
from monsoonhoist.policy import ownership
from monsoonhoist.protocol import events, server_events

MS_PER_SECOND = 1000.0
# Longest time that a server is believed to stay cold.
COLD_MAX_SECONDS = 3600.0


class ColdServers:
    """Warm-up of the servers whose service states a rate, or that say that they are cold.

    The latest report of a server wins. Without a report, a server counts as cold for the warm-up
    of its service when it is first listed and when it has started again.

    Args:
        policy: Policy that chooses the owners of shards.
        options: Requests that cold servers can serve.

    Attributes:
        fleet_version: Number that increases when the instances that share the quotas change.
        larger_from: When quotas that this change makes larger may be used, in monotonic seconds.
    """

    def __init__(self, policy: ownership.Ownership, options: cold_quota.ColdOptions):
        self.fleet_version = 0
        self.larger_from = math.inf
        self._policy = policy
        self._options = options
        self._instance = data.InstanceId("")
        self._state_by_id: dict[data.ServerId, ColdState] = {}
        self._pool_by_id: dict[data.PoolId, data.Pool] = {}
        self._pools_by_service: dict[data.ServiceId, list[data.PoolId]] = {}
        self._known: tuple[data.InstanceId, ...] = ()
        self._members: tuple[data.InstanceId, ...] = ()
        self._topology = placement.NO_TOPOLOGY

    @property
    def instance_count(self) -> int:
        """Number of instances among which the rates are divided."""
        return len(self._known)

    def __len__(self) -> int:
        """Returns the number of servers whose warm-up is recorded."""
        return len(self._state_by_id)

    def find(self, server: data.Server) -> "ColdState | None":
        """Returns the state of a server's warm-up, or None if there is none."""
        return self._state_by_id.get(server.server_id)

    def update(
        self, view: events.ViewChanged, instance: data.InstanceId, now: float
    ) -> list[data.ServerId]:
        """Applies the servers and the instances of a newer view; returns servers that are now cold.

        Args:
            view: The view.
            instance: This instance.
            now: The time, in monotonic seconds.
        """
        self._instance = instance
        before, self._pool_by_id = self._pool_by_id, view.tables.pool_by_id
        self._set_fleet(view, now)
        if before is self._pool_by_id:
            return []
        turned_cold = [
            server.server_id
            for pool_id, pool in self._pool_by_id.items()
            if pool is not before.get(pool_id)
            for servers in pool.servers_by_service.values()
            for server in servers
            if self._is_relevant(server) and self._record_listed(server, now)
        ]
        for server_id, state in list(self._state_by_id.items()):
            if not self._is_listed(state.server):
                del self._state_by_id[server_id]
        return turned_cold

    def record_report(self, server: data.Server, cold_ms: int, now: float) -> bool:
        """Records how long a server says that it stays cold; returns whether it has become cold."""
        state = self._state_by_id.get(server.server_id)
        if state is None:
            if cold_ms <= 0:
                return False
            state = self._state_by_id[server.server_id] = ColdState(server, self)
        elif state.server.incarnation > server.incarnation:
            return False
        return state.set_cold(cold_ms / MS_PER_SECOND, now)

    def pools_of(self, server: data.Server) -> list[data.PoolId]:
        """Returns the pools that have the server's shard."""
        return self._pools_by_service.get(server.service, [])

    def part(self, server: data.Server) -> int:
        """Returns this instance's part of the quota of its cell for a server.

        The owners of the shard in several pools share it; the first ones get what is left over.
        An instance that owns the shard in none of them gets nothing.
        """
        owners = sorted(
            {
                self._policy.owners(pool_id, server.service, self._members)[0]
                for pool_id in self.pools_of(server)
            }
        )
        if self._instance not in owners:
            return 0
        requests = self._options.requests_max(server.warm_up_rate)
        part = cold_quota.divide(server.server_id, requests, self._known, self._members)
        each, remainder = divmod(part, len(owners))
        return each + (owners.index(self._instance) < remainder)

    def _record_listed(self, server: data.Server, now: float) -> bool:
        """Applies a listed server; only what differs from the last record is a new report.

        Returns:
            Whether the server has become cold.
        """
        state = self._state_by_id.get(server.server_id)
        is_new = state is None or state.server.incarnation != server.incarnation
        if state is None:
            state = self._state_by_id[server.server_id] = ColdState(server, self)
        is_changed = is_new or server.cold_ms != state.server.cold_ms
        state.set_server(server)
        if server.cold_ms is not None and is_changed:
            return state.set_cold(server.cold_ms / MS_PER_SECOND, now)
        return is_new and state.set_cold(server.warm_up_seconds, now)

    def _is_relevant(self, server: data.Server) -> bool:
        """Returns whether the server is cold, its service states a rate, or it has a state."""
        is_stated = server.warm_up_rate > 0.0 or bool(server.cold_ms)
        return is_stated or server.server_id in self._state_by_id

    def _is_listed(self, server: data.Server) -> bool:
        return any(
            listed.server_id == server.server_id
            for pool_id in self.pools_of(server)
            for listed in self._pool_by_id[pool_id].servers_by_service[server.service]
        )

    def _set_fleet(self, view: events.ViewChanged, now: float) -> None:
        """Applies the instances that share the quotas, and the pools of each shard."""
        members = view.cell or view.instances
        if self._policy.limit_share(2).slots < 1.0:
            # Each instance calls every server, so that none uses the quota of another.
            members = (self._instance,)
        known = view.known_instances or view.instances
        pools_by_service: dict[data.ServiceId, list[data.PoolId]] = {}
        for pool_id, pool in view.tables.pool_by_id.items():
            for service in pool.servers_by_service:
                pools_by_service.setdefault(service, []).append(pool_id)
        before = (self._known, self._members, self._topology)
        self._known, self._members, self._topology = known, members, view.topology
        self._pools_by_service = pools_by_service
        if before == (known, members, view.topology):
            return
        self.fleet_version += 1
        # Instances that join make no part larger.
        is_joining = bool(before[0]) and set(before[0]).issubset(known)
        if not is_joining or before[1:] != (members, view.topology):
            self.larger_from = now + cold_quota.RAISE_DELAY_SECONDS


class ColdState:
    """Warm-up of one server.

    Args:
        server: The server, as it is listed.
        servers: The registry, which divides the quotas.

    Attributes:
        server: The server, as last listed.
        reported_at: Time of the latest report, in monotonic seconds.
        quota: Quota of this instance, with the end of the warm-up.
    """

    def __init__(self, server: data.Server, servers: ColdServers):
        self.server = server
        self.reported_at = -math.inf
        self.quota = cold_quota.Quota(-math.inf)
        self._servers = servers
        self._fleet_version = -1
        self._pools: list[data.PoolId] = []

    def set_server(self, server: data.Server) -> None:
        """Applies the server's record from newer tables."""
        if server.warm_up_rate != self.server.warm_up_rate:
            self._fleet_version = -1
        self.server = server

    def set_cold(self, seconds: float, now: float) -> bool:
        """Sets how long the server stays cold; returns whether it was warm and is now cold."""
        was_cold = self.quota.is_cold(now)
        self.quota.cold_until = now + min(seconds, COLD_MAX_SECONDS)
        self.reported_at = now
        return self.quota.is_cold(now) and not was_cold

    def is_limited(self, now: float) -> bool:
        """Returns whether the server is cold and its service states a rate."""
        return self.server.warm_up_rate > 0.0 and self.quota.is_cold(now)

    def describe(self, now: float) -> server_events.ServerTurnedCold:
        """Returns the report that the server has become cold."""
        is_limited = self.is_limited(now)
        return server_events.ServerTurnedCold(
            self.server.server_id,
            round(self.quota.cold_until - now, 3),
            self.server.warm_up_rate,
            self.current_quota(now).count if is_limited else 0,
            self._servers.instance_count,
        )

    def may_call(self, now: float) -> bool:
        """Returns whether one more call may be sent now."""
        return not self.is_limited(now) or self.current_quota(now).may_call(now)

    def current_quota(self, now: float) -> cold_quota.Quota:
        """Returns the quota for the present instances."""
        pools = self._servers.pools_of(self.server)
        if self._fleet_version != self._servers.fleet_version or pools != self._pools:
            larger_from = self._servers.larger_from
            if self._pools and pools != self._pools:
                # Owners in the former pools may still call the server.
                larger_from = max(larger_from, now + cold_quota.RAISE_DELAY_SECONDS)
            self._fleet_version = self._servers.fleet_version
            self._pools = pools
            self.quota.set_count(self._servers.part(self.server), now, larger_from)
        return self.quota
