"""State of one shard at its owner: its backend servers and its queue of sub-requests."""

import math

import msgspec

from monsoonhoist.core import data, limits
from monsoonhoist.policy import balance, order
from monsoonhoist.protocol import events, fanout
from monsoonhoist.shards import server, server_notices, slow_start, subrequest

# A timeout starts a backoff of the server only if the call ran for at least this multiple of the
# smoothed latency of the shard's fastest server.
TIMEOUT_FAILURE_MIN_LATENCIES = 3.0
MS_PER_SECOND = 1000
# Reasons that indicate an unhealthy server rather than an overloaded one.
_UNHEALTHY_REASONS = (
    data.Refusal.CONNECT_FAILED,
    data.Refusal.CONNECTION_LOST,
    data.Refusal.BACKEND_ERROR,
)


class ShardState:
    """The owner's state of one shard.

    Args:
        pool: Pool of the shard.
        service: The shard.
        queue: Queue of the sub-requests that wait for a server.
        leaving_grace_seconds: How long a server that is leaving may still be called if no other
            server is available (as a last resort).
        notices: What servers have said about themselves.
        starts: Creates the paces of servers that start.

    Attributes:
        pool: Pool of the shard.
        service: The shard.
        server_by_id: Its servers.
        queue: Sub-requests that wait for a server, including withdrawn ones.
        queued_count: Number of sub-requests in the queue that are still needed.
        keys: Keys of the shard if the table defines them, else None.
    """

    def __init__(
        self,
        pool: data.PoolId,
        service: data.ServiceId,
        queue: order.Order[subrequest.SubRequest],
        leaving_grace_seconds: float,
        notices: server_notices.ServerNotices,
        starts: slow_start.SlowStarts,
    ):
        self.pool = pool
        self.service = service
        self.server_by_id: dict[data.ServerId, server.ServerState] = {}
        self.queue = queue
        self.queued_count = 0
        self.keys: data.KeyRange | None = None
        self._servers: tuple[data.Server, ...] = ()
        self._leaving_grace_seconds = leaving_grace_seconds
        self._notices = notices
        self._starts = starts

    def is_current(self, servers: tuple[data.Server, ...]) -> bool:
        """Returns whether ``update`` last applied this same tuple and kept no other server."""
        return servers is self._servers and len(self.server_by_id) == len(servers)

    def update(
        self,
        servers: tuple[data.Server, ...],
        share: limits.LimitShare,
        now: float,
        evacuated_zones: frozenset[data.ZoneId] = frozenset(),
    ) -> None:
        """Applies the shard's servers from a newer table.

        A server whose address or incarnation has changed gets a new state; calls in flight keep
        the old one.
        A server that is no longer in the table is kept while it may be a last resort.

        Args:
            servers: The servers of the table.
            share: Share of the servers' limits that this instance may use.
            now: The time, in monotonic seconds.
            evacuated_zones: Zones whose servers receive nothing new, not even as a last resort.
        """
        self._servers = servers
        state_by_id: dict[data.ServerId, server.ServerState] = {}
        for record in servers:
            state = self.server_by_id.get(record.server_id)
            limit_max = share.calls_max(record)
            if state is None or not _is_same_process(state.server, record):
                state = server.ServerState(record, limit_max, self._starts)
                if self.server_by_id:
                    state.mark_added(now)
            else:
                state.update(record, limit_max)
            state.set_evacuated(record.zone in evacuated_zones, now)
            self._apply_notice(state, now)
            state_by_id[record.server_id] = state
        for server_id, state in self.server_by_id.items():
            if server_id not in state_by_id:
                state.mark_unlisted(now)
                state.set_evacuated(state.server.zone in evacuated_zones, now)
                if state.is_last_resort(now, self._leaving_grace_seconds):
                    state_by_id[server_id] = state
        self.server_by_id = state_by_id

    def apply_notice(self, server_id: data.ServerId, now: float) -> bool:
        """Applies a server's new notice; returns whether the shard has the server."""
        state = self.server_by_id.get(server_id)
        if state is None:
            return False
        self._apply_notice(state, now)
        return True

    def _apply_notice(self, state: server.ServerState, now: float) -> None:
        """Marks a server as leaving or in service, by the table and by what it has said itself."""
        notice = self._notices.find(state.server)
        if notice.leaving_since is not None:
            state.mark_leaving(notice.leaving_since)
        elif state.server.leaving:
            state.mark_leaving(now)
        else:
            state.mark_in_service(now)
        state.wait_until(notice.wait_until)

    def push(self, sub: subrequest.SubRequest) -> None:
        """Adds a sub-request to the queue."""
        sub.queued = True
        self.queued_count += 1
        self.queue.push(sub.query.rank, sub.deadline, sub, sub.start_by)

    def pop(self, now: float = -math.inf) -> subrequest.SubRequest | None:
        """Removes and returns the next sub-request that is still needed; None if there is none."""
        while (sub := self.queue.pop(now)) is not None:
            if sub.queued:
                sub.queued = False
                self.queued_count -= 1
                return sub
        return None

    def withdraw(self, sub: subrequest.SubRequest) -> None:
        """Marks a sub-request as no longer queued; ``pop`` then skips it."""
        if sub.queued:
            sub.queued = False
            self.queued_count -= 1

    def holdings(self) -> tuple[data.Holding, ...]:
        """Returns the snapshots of servers neither leaving nor evacuated, newest first."""
        holding_by_snapshot = {
            holding.snapshot: holding
            for state in self.server_by_id.values()
            if not (state.is_leaving or state.is_evacuated)
            for holding in state.holdings
        }
        return tuple(
            holding_by_snapshot[snapshot] for snapshot in sorted(holding_by_snapshot, reverse=True)
        )

    def make_part(self, sub: subrequest.SubRequest, event: events.CallReplied) -> fanout.Part:
        """Returns the part that reports a server's reply to the entry."""
        return fanout.Part(
            sub.service,
            sub.attempt,
            event.snapshot,
            self.keys or event.keys,
            self.holdings(),
            event.proof,
            event.response,
        )

    def make_failure(
        self, sub: subrequest.SubRequest, reason: data.Refusal, now: float
    ) -> fanout.Failure:
        """Returns the failure that reports a sub-request without results to the entry."""
        return fanout.Failure(
            sub.service,
            sub.attempt,
            reason,
            sub.may_have_run,
            self.holdings(),
            sub.last_response,
            calls=sub.calls - sub.unused_calls,
            wait_ms=self.wait_ms(now),
        )

    def fastest_latency_seconds(self) -> float:
        """Returns the smoothed latency of the fastest server; 0 while that of any is unknown."""
        return min((state.latency_seconds for state in self.server_by_id.values()), default=0.0)

    def is_any_available(self, now: float) -> bool:
        """Returns whether new calls may be sent to any server, normally or as a last resort."""
        grace = self._leaving_grace_seconds
        return any(
            state.is_available(now) or state.is_last_resort(now, grace)
            for state in self.server_by_id.values()
        )

    def available_at(self) -> float:
        """Returns when the first server becomes available, in monotonic seconds.

        Servers that are leaving do not count; without others the time is infinite.
        """
        times = [
            state.available_at() for state in self.server_by_id.values() if not state.is_leaving
        ]
        return min(times, default=math.inf)

    def wait_ms(self, now: float) -> int:
        """Returns the time until a server is available, in milliseconds; 0 if unknown or now."""
        available_at = self.available_at()
        if available_at == math.inf or self.is_any_available(now):
            return 0
        return max(0, math.ceil((available_at - now) * MS_PER_SECOND))

    def cannot_meet_deadline(self, sub: subrequest.SubRequest, now: float) -> bool:
        """Returns whether a sub-request has less time left than the fastest server needs.

        Always False when the sub-request has just arrived, since only calls show that a server
        has become fast again.
        """
        return now > sub.arrived_at and sub.deadline - now < self.fastest_latency_seconds()

    def record_failure(
        self, call: subrequest.Call, event: events.CallFailed, median_seconds: float, now: float
    ) -> None:
        """Updates the state of a call's server after the call has failed."""
        call.server.update_holdings(event.holdings, now)
        age = now - call.started_at
        if event.reason not in (data.Refusal.CANCELLED, data.Refusal.EXPIRED_IN_QUEUE):
            call.server.record_outcome(True, now)
        if event.reason in _UNHEALTHY_REASONS:
            call.server.record_failure(now)
        elif event.reason is data.Refusal.TIMEOUT:
            self._record_timeout(call, age, median_seconds, now)
        elif event.reason is data.Refusal.CANCELLED:
            # The age of the call is a lower bound of its latency.
            call.server.record_unanswered(age, median_seconds, now)
        elif event.reason is data.Refusal.WRONG_SERVER:
            call.server.record_wrong_server(now)
        elif event.reason in (data.Refusal.SHED, data.Refusal.CONNECTIONS):
            call.server.record_shed(now)
        elif event.reason is data.Refusal.DRAINING:
            call.server.record_draining(now)

    def _record_timeout(
        self, call: subrequest.Call, age: float, median_seconds: float, now: float
    ) -> None:
        """Starts a backoff after a timeout, unless the call had too little time to complete."""
        if age >= TIMEOUT_FAILURE_MIN_LATENCIES * self.fastest_latency_seconds():
            call.server.record_failure(now)
        else:
            call.server.record_unanswered(age, median_seconds, now)

    def candidates(self, sub: subrequest.SubRequest, now: float) -> list[server.ServerState]:
        """Returns the untried servers with free capacity that a sub-request may be sent to now.

        Servers known not to hold the sub-request's snapshot are excluded.
        """
        states = server.select_by_pace(self._untried_servers(sub, now), sub.query.query_id, now)
        return [state for state in states if state.has_capacity(now)]

    def _untried_servers(self, sub: subrequest.SubRequest, now: float) -> list[server.ServerState]:
        """Returns the servers that a sub-request may be sent to and has not been sent to yet.

        Servers that are leaving are used only as a last resort.
        """
        states = list(self.server_by_id.values())
        usable = [state for state in states if state.is_available(now)]
        if not usable:
            grace = self._leaving_grace_seconds
            usable = [state for state in states if state.is_last_resort(now, grace)]
        return [
            state
            for state in usable
            if state.server.server_id not in sub.tried_server_ids
            and state.may_hold(sub.snapshot, now)
        ]

    def next_untried_at(self, sub: subrequest.SubRequest, now: float) -> float:
        """Returns when the first untried server becomes available, in monotonic seconds.

        Servers that are leaving do not count; without others the time is infinite.
        """
        times = [
            state.available_at()
            for state in self.server_by_id.values()
            if not state.is_leaving
            and state.server.server_id not in sub.tried_server_ids
            and state.may_hold(sub.snapshot, now)
        ]
        return min(times, default=math.inf)

    def hedge_candidates(self, sub: subrequest.SubRequest, now: float) -> list[server.ServerState]:
        """Returns the servers with free capacity that a hedge may be sent to now.

        These are untried servers. Servers tried before are returned only if there is no untried
        server, with or without free capacity.
        """
        untried = self.candidates(sub, now)
        if untried or self.has_untried(sub, now):
            return untried
        return [
            state
            for state in self.server_by_id.values()
            if state.has_capacity(now)
            and state.is_available(now)
            and state.may_hold(sub.snapshot, now)
        ]

    def refusal_without_server(self, sub: subrequest.SubRequest, now: float) -> data.Refusal:
        """Returns the reason to refuse a sub-request for which no server is left."""
        may_be_held = any(state.may_hold(sub.snapshot, now) for state in self.server_by_id.values())
        return data.Refusal.NO_SERVER if may_be_held else data.Refusal.SNAPSHOT_GONE

    def has_untried(self, sub: subrequest.SubRequest, now: float) -> bool:
        """Returns whether an untried server may serve a sub-request, now or once it is free."""
        return bool(self._untried_servers(sub, now))

    def has_capacity(self, now: float) -> bool:
        """Returns whether any server that is available or a last resort has free capacity."""
        grace = self._leaving_grace_seconds
        return any(
            state.has_capacity(now)
            and (state.is_available(now) or state.is_last_resort(now, grace))
            for state in self.server_by_id.values()
        )


def describe_choices(
    states: list[server.ServerState], median_seconds: float, now: float
) -> tuple[events.Choice, ...]:
    """Returns the data on which a choice between servers is based, for traces and logs."""
    return tuple(
        events.Choice(
            state.server.server_id,
            state.outstanding,
            round(state.slowness(now, median_seconds), 2),
            round(state.failure_share(now), 2),
        )
        for state in states
    )


def choose_server(
    policy: balance.Balance,
    states: list[server.ServerState],
    zone: data.ZoneId,
    median_seconds: float,
    now: float,
) -> server.ServerState:
    """Returns the server that the policy prefers.

    Args:
        policy: The load-balancing policy.
        states: Servers with free capacity; not empty.
        zone: Availability zone of this instance.
        median_seconds: Median latency of the route's calls; 0 if unknown.
        now: The time, in monotonic seconds.
    """
    if len(states) == 1:
        return states[0]
    state_by_id = {state.server.server_id: state for state in states}
    candidates = [
        balance.Candidate(
            server=state.server,
            outstanding=state.outstanding,
            limit=state.limit,
            latency_seconds=state.latency_seconds,
            same_zone=state.server.zone == zone,
            slowness=state.slowness(now, median_seconds),
            failure_share=state.failure_share(now),
        )
        for state in states
    ]
    return state_by_id[policy.choose(candidates).server.server_id]


def fixed_keys(pool: data.Pool, service: data.ServiceId) -> data.KeyRange | None:
    """Returns a shard's keys if the table defines them, else None."""
    if not pool.snapshot or service not in pool.servers_by_service:
        return None
    position = list(pool.servers_by_service).index(service)
    return data.KeyRange(position, position + 1)


def _is_same_process(known: data.Server, listed: data.Server) -> bool:
    """Returns whether two records of a server are of the same start of its process."""
    return known.address == listed.address and known.incarnation == listed.incarnation


def classify_failure(event: events.CallFailed) -> events.CallFailed:
    """Reclassifies a refusal because of load if the server reports that it has free slots."""
    load = event.report.load
    if event.reason is not data.Refusal.SHED or load is None or load.running >= load.slots:
        return event
    return msgspec.structs.replace(event, reason=data.Refusal.SHED_WITHOUT_LOAD)
