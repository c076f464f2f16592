"""Kernel of the owner: queues, calls, hedges and retries at backend servers."""

import functools
import itertools
import math

from monsoonhoist.core import (
    alarms,
    clock,
    data,
    events,
    extra,
    messages,
    options,
    replies,
    server,
    shard,
    subrequest,
    wants,
    work,
)

QUEUE_MAX = 512
# Pause before a hedge that found no room or was not allowed is tried again.
HEDGE_REPEAT_SECONDS = 0.02
# Share of its remaining time that a sub-request waits for a closed server to open.
REOPEN_WAIT_SHARE = 0.25

ShardKey = tuple[data.PoolId, data.ServiceId]


class OwnerKernel:
    """Decides on all calls to backend servers from one instance, without I/O.

    Args:
        myself: This instance.
        zone: Availability zone of this instance.
        time_source: The clock.
        policies: Policies to decide by.
        settings: Settings.
    """

    def __init__(
        self,
        myself: data.InstanceId,
        zone: data.ZoneId,
        time_source: clock.Clock,
        policies: options.Policies,
        settings: options.OwnerOptions,
    ):
        self._myself = myself
        self._zone = zone
        self._clock = time_source
        self._policies = policies
        self._settings = settings
        self._tables = data.Tables({}, {})
        self._share = policies.ownership.share(1)
        self._shard_by_key: dict[ShardKey, shard.ShardState] = {}
        self._subs_by_query: dict[data.QueryId, list[subrequest.SubRequest]] = {}
        self._call_by_id: dict[int, subrequest.Call] = {}
        self._hedges = extra.HedgePolicies(policies.make_hedge)
        self._call_ids = itertools.count(1)
        self._alarms = alarms.Alarms()
        self._replies = replies.ReplyCollector(myself, self._subs_by_query.__contains__)
        self._wants = wants.WantCollector()

    @property
    def active(self) -> int:
        """Number of calls in flight and of queries with sub-requests here."""
        return len(self._call_by_id) + len(self._subs_by_query)

    def next_wake(self) -> float | None:
        """Returns when ``TimeReached`` is due, in monotonic seconds, or None."""
        wakes = (self._alarms.next_at(), self._replies.next_due())
        return min((wake for wake in wakes if wake is not None), default=None)

    def handle(self, event: events.OwnerEvent) -> list[events.Command]:
        """Takes an event and returns the commands to carry out, in order."""
        commands: list[events.Command] = []
        match event:
            case events.BatchArrived():
                self._take_batch(event.batch, commands)
            case events.CallReplied():
                self._take_results(event, commands)
            case events.CallFailed():
                self._take_failure(event, commands)
            case events.CallsAllowed():
                self._take_allowances(event.message, commands)
            case events.CancelArrived():
                self._cancel(event, commands)
            case events.ViewChanged():
                self._change_view(event, commands)
            case events.TimeReached():
                for action in self._alarms.due(self._clock.monotonic()):
                    action(commands)
        commands.extend(self._replies.flush(self._clock.monotonic()))
        commands.extend(self._wants.flush())
        return commands

    def _change_view(self, event: events.ViewChanged, commands: list[events.Command]) -> None:
        self._tables = event.tables
        share = self._policies.ownership.share(event.cells or len(event.instances))
        now = self._clock.monotonic()
        for key, state in self._shard_by_key.items():
            pool = self._tables.pool_by_id.get(key[0])
            servers = pool.servers_by_service.get(key[1], ()) if pool else ()
            if share != self._share or not state.has(servers):
                state.keys = shard.fixed_keys(pool, key[1]) if pool else state.keys
                state.update(servers, share, now)
                self._pump(state, commands)
        self._share = share

    def _take_batch(self, batch: messages.SubBatch, commands: list[events.Command]) -> None:
        now = self._clock.monotonic()
        for service in batch.services:
            self._accept(subrequest.make_sub_request(batch, service, now), commands)

    def _accept(self, sub: subrequest.SubRequest, commands: list[events.Command]) -> None:
        """Queues a sub-request, or refuses it."""
        state = self._shard(sub.query.pool, sub.service)
        if state is None:
            self._refuse(sub, data.Refusal.SERVICE_NOT_DEFINED, commands)
            return
        if state.waiting >= QUEUE_MAX:
            self._refuse(sub, data.Refusal.QUEUE_FULL, commands)
            return
        self._subs_by_query.setdefault(sub.query.query_id, []).append(sub)
        self._alarms.set(sub.deadline, lambda out: self._expire(state, sub, out))
        state.push(sub)
        self._pump(state, commands)

    def _pump(self, state: shard.ShardState, commands: list[events.Command]) -> None:
        """Starts calls while servers have room and sub-requests wait."""
        now = self._clock.monotonic()
        deferred: list[subrequest.SubRequest] = []
        while state.waiting and state.has_room(now):
            sub = state.pop()
            if sub is None:
                break
            candidates = state.candidates(sub, now)
            if state.is_hopeless(sub, now):
                self._give_up(state, sub, data.Refusal.EXPIRED_IN_QUEUE, commands)
            elif candidates:
                self._call(state, sub, candidates, commands)
            elif state.has_untried(sub, now):
                deferred.append(sub)
            else:
                self._give_up(state, sub, state.refusal_without_server(sub, now), commands)
        for sub in deferred:
            state.push(sub)
        self._refuse_without_server(state, now, commands)

    def _refuse_without_server(
        self, state: shard.ShardState, now: float, commands: list[events.Command]
    ) -> None:
        """Refuses waiting work when every server is closed, unless one opens soon."""
        if not state.waiting or state.is_any_open(now):
            return
        opens_at = state.opens_at()
        kept: list[subrequest.SubRequest] = []
        while (sub := state.pop()) is not None:
            if opens_at - now <= (sub.deadline - now) * REOPEN_WAIT_SHARE:
                kept.append(sub)
            else:
                self._give_up(state, sub, data.Refusal.NO_SERVER, commands)
        for sub in kept:
            state.push(sub)
        if kept:
            self._alarms.set(opens_at, lambda out: self._pump(state, out))

    def _call(
        self,
        state: shard.ShardState,
        sub: subrequest.SubRequest,
        candidates: list[server.ServerState],
        commands: list[events.Command],
    ) -> None:
        """Starts a call at the best candidate and plans its hedge."""
        now = self._clock.monotonic()
        hedge_policy = self._hedges.of(sub)
        chosen = shard.choose(
            self._policies.balance, candidates, self._zone, hedge_policy.typical_seconds(), now
        )
        call = subrequest.Call(next(self._call_ids), sub, chosen, now)
        if not sub.calls:
            sub.queue_delay_seconds = now - sub.arrived
        sub.calls += 1
        sub.tried.append(chosen.server.server_id)
        sub.call_by_id[call.call_id] = call
        chosen.started_by_call[call.call_id] = now
        self._call_by_id[call.call_id] = call
        choices = shard.describe(candidates, hedge_policy.typical_seconds(), now)
        commands.append(subrequest.start_call(call, choices))
        delay = hedge_policy.delay_seconds(sub.query.hedge_budget)
        if delay is not None and sub.query.repeatable and extra.may_call_again(sub):
            self._alarms.set(now + delay, lambda out: self._hedge(state, sub, out))

    def _hedge(
        self, state: shard.ShardState, sub: subrequest.SubRequest, commands: list[events.Command]
    ) -> None:
        """Calls a second server if the first is late, once the entry has allowed it."""
        if sub.closed or sub.waiting or not sub.call_by_id or not extra.may_call_again(sub):
            return
        now = self._clock.monotonic()
        candidates = state.hedge_candidates(sub, now)
        if candidates and sub.calls < sub.allowed:
            commands.append(events.CountRetry(data.RetryReason.HEDGE))
            self._call(state, sub, candidates, commands)
        elif candidates:
            self._wants.add(sub, data.RetryReason.HEDGE)
        else:
            self._hedge_later(state, sub)

    def _hedge_later(self, state: shard.ShardState, sub: subrequest.SubRequest) -> None:
        hedge = functools.partial(self._hedge, state, sub)
        self._alarms.set(self._clock.monotonic() + HEDGE_REPEAT_SECONDS, hedge)

    def _take_allowances(
        self, message: messages.CallsAllowed, commands: list[events.Command]
    ) -> None:
        """Goes on with the sub-requests for which more calls were asked for."""
        sub_by_key = {
            (sub.service, sub.attempt): sub for sub in self._subs_by_query.get(message.query_id, ())
        }
        for allowance in message.allowances:
            sub = sub_by_key.get((allowance.service, allowance.attempt))
            if sub is not None and sub.wanted is not None:
                self._take_allowance(sub, allowance.allowed, commands)

    def _take_allowance(
        self, sub: subrequest.SubRequest, allowed: int, commands: list[events.Command]
    ) -> None:
        """Makes the call that was asked for, or does without."""
        state = self._shard_by_key[(sub.query.pool, sub.service)]
        reason, sub.wanted = sub.wanted, None
        is_more = allowed > sub.allowed
        sub.allowed = max(sub.allowed, allowed)
        if sub.call_by_id and is_more:
            self._hedge(state, sub, commands)
        elif sub.call_by_id:
            self._hedge_later(state, sub)
        elif is_more:
            commands.append(events.CountRetry(reason))
            state.push(sub)
            self._pump(state, commands)
        else:
            self._give_up(state, sub, sub.last_failure or data.Refusal.NO_SERVER, commands)

    def _take_results(self, event: events.CallReplied, commands: list[events.Command]) -> None:
        call = self._end_call(event.call_id)
        if call is None:
            return
        now = self._clock.monotonic()
        state = self._shard_by_key[(call.sub.query.pool, call.sub.service)]
        latency = now - call.started
        hedge_policy = self._hedges.of(call.sub)
        call.server.note_success(latency, hedge_policy.typical_seconds(), now)
        call.server.learn(event.holdings, now)
        hedge_policy.record(latency)
        if event.draining:
            call.server.note_draining(now)
        if not call.sub.closed:
            self._replies.add_part(call.sub, state.part_of(call.sub, event), event.results)
            self._close(call.sub, commands)
        self._pump(state, commands)

    def _take_failure(self, event: events.CallFailed, commands: list[events.Command]) -> None:
        call = self._end_call(event.call_id)
        if call is None:
            return
        event = shard.classify(event)
        now = self._clock.monotonic()
        sub = call.sub
        state = self._shard_by_key[(sub.query.pool, sub.service)]
        hedge_policy = self._hedges.of(sub)
        if event.reason is data.Refusal.CANCELLED:
            hedge_policy.record(now - call.started)
        state.note_failure(call, event, hedge_policy.typical_seconds(), now)
        if not call.cancelled:
            commands.append(events.CountRefusal(event.reason))
        sub.may_have_run = sub.may_have_run or event.may_have_run
        sub.unused_calls += not event.may_have_run
        sub.last_failure = event.reason
        sub.last_response = event.response or sub.last_response
        if not sub.closed and not sub.call_by_id and not sub.waiting:
            self._retry(state, sub, event, commands)
        self._pump(state, commands)

    def _retry(
        self,
        state: shard.ShardState,
        sub: subrequest.SubRequest,
        event: events.CallFailed,
        commands: list[events.Command],
    ) -> None:
        """Asks for one more call after a failed one, or gives up."""
        now = self._clock.monotonic()
        safe = sub.query.repeatable or not sub.may_have_run
        reason = data.RetryReason.LOST if event.may_have_run else data.RetryReason.REFUSED
        useful = extra.is_attempt_left(sub) and now < sub.deadline and state.has_untried(sub, now)
        if not (safe and useful):
            self._give_up(state, sub, event.reason, commands)
        elif sub.calls < sub.allowed:
            commands.append(events.CountRetry(reason))
            state.push(sub)
        else:
            self._wants.add(sub, reason)

    def _expire(
        self, state: shard.ShardState, sub: subrequest.SubRequest, commands: list[events.Command]
    ) -> None:
        """Ends a sub-request at its deadline."""
        if sub.closed:
            return
        is_running = bool(sub.call_by_id)
        sub.may_have_run = sub.may_have_run or is_running
        reason = data.Refusal.TIMEOUT if is_running else data.Refusal.EXPIRED_IN_QUEUE
        self._give_up(state, sub, reason, commands)

    def _cancel(self, event: events.CancelArrived, commands: list[events.Command]) -> None:
        """Drops a query's sub-requests; calls of non-repeatable work go on."""
        for sub in list(self._subs_by_query.get(event.query_id, ())):
            if event.services and sub.service not in event.services:
                continue
            self._shard_by_key[(sub.query.pool, sub.service)].withdraw(sub)
            self._close(sub, commands)
            for call in list(sub.call_by_id.values()) if event.is_abandoned else ():
                self._drop_call(call, commands)

    def _give_up(
        self,
        state: shard.ShardState,
        sub: subrequest.SubRequest,
        reason: data.Refusal,
        commands: list[events.Command],
    ) -> None:
        """Answers the origin that a sub-request has no results."""
        state.withdraw(sub)
        if sub.last_failure is not None and reason is data.Refusal.NO_SERVER:
            reason = sub.last_failure
        self._replies.add_failure(sub, subrequest.failure_of(sub, reason, state.holdings()))
        self._close(sub, commands)

    def _refuse(
        self, sub: subrequest.SubRequest, reason: data.Refusal, commands: list[events.Command]
    ) -> None:
        """Answers the origin that a sub-request was not accepted."""
        commands.append(events.CountRefusal(reason))
        self._replies.add_failure(sub, work.Failure(sub.service, sub.attempt, reason, False))

    def _close(self, sub: subrequest.SubRequest, commands: list[events.Command]) -> None:
        """Forgets a sub-request; calls that are left may end for a moment, then are dropped.

        A call that ends keeps its connection, and tells how long the server takes.
        """
        sub.closed = True
        subs = self._subs_by_query[sub.query.query_id]
        subs.remove(sub)
        if not subs:
            del self._subs_by_query[sub.query.query_id]
        typical_seconds = self._hedges.of(sub).typical_seconds()
        patience = typical_seconds * self._settings.finish_latencies
        now = self._clock.monotonic()
        for call in list(sub.call_by_id.values()):
            drop = functools.partial(self._drop_call, call)
            if call.started + patience <= now:
                drop(commands)
            else:
                self._alarms.set(call.started + patience, drop)

    def _drop_call(self, call: subrequest.Call, commands: list[events.Command]) -> None:
        """Cancels a call in flight that is not needed, if the work may be repeated."""
        is_in_flight = call.call_id in self._call_by_id
        if is_in_flight and call.sub.query.repeatable and not call.cancelled:
            call.cancelled = True
            commands.append(events.CancelCall(call.call_id))

    def _end_call(self, call_id: int) -> subrequest.Call | None:
        call = self._call_by_id.pop(call_id, None)
        if call is not None:
            del call.server.started_by_call[call_id]
            del call.sub.call_by_id[call_id]
        return call

    def _shard(self, pool_id: data.PoolId, service: data.ServiceId) -> shard.ShardState | None:
        """Returns a shard's state, made on first use, or None if no table defines it."""
        state = self._shard_by_key.get((pool_id, service))
        if state is not None:
            return state if state.server_by_id else None
        pool = self._tables.pool_by_id.get(pool_id)
        servers = pool.servers_by_service.get(service) if pool else None
        if servers is None:
            return None
        grace = self._settings.leaving_grace_seconds
        state = shard.ShardState(pool_id, service, self._policies.make_order(), grace)
        state.keys = shard.fixed_keys(pool, service)
        # Nothing tells for how long servers that are leaving by now have been leaving.
        state.update(servers, self._share, -math.inf)
        self._shard_by_key[(pool_id, service)] = state
        return state
