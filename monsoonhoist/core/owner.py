"""Owner kernel: queues sub-requests and schedules calls, hedges and retries, without I/O."""

import functools
import itertools
import math

from monsoonhoist.core import (
    call_requests,
    clock,
    data,
    events,
    fanout,
    hedging,
    kernel_config,
    messages,
    replies,
    server,
    shard,
    subrequest,
    timers,
)

SHARD_QUEUE_LENGTH_MAX = 512
# Delay before retrying a hedge that found no free server or that the entry did not allow.
HEDGE_RETRY_SECONDS = 0.02
# Share of its remaining time that a sub-request may wait for a server to become available.
UNAVAILABLE_WAIT_SHARE = 0.25

ShardKey = tuple[data.PoolId, data.ServiceId]


class OwnerKernel:
    """Decides which backend servers one instance calls, when and how often.

    Args:
        instance: This instance.
        zone: Availability zone of this instance.
        time_source: The clock.
        policies: Policies for ownership, balancing, queue order and hedging.
        options: Options of the kernels of this instance.
    """

    def __init__(
        self,
        instance: data.InstanceId,
        zone: data.ZoneId,
        time_source: clock.Clock,
        policies: kernel_config.OwnerPolicies,
        options: kernel_config.KernelOptions,
    ):
        self._instance = instance
        self._zone = zone
        self._clock = time_source
        self._policies = policies
        self._options = options
        self._tables = data.Tables({}, {})
        self._limit_share = policies.ownership.limit_share(1)
        self._shard_by_key: dict[ShardKey, shard.ShardState] = {}
        self._subs_by_query: dict[data.QueryId, list[subrequest.SubRequest]] = {}
        self._call_by_id: dict[int, subrequest.Call] = {}
        self._hedge_policies = hedging.HedgePolicies(policies.make_hedge)
        self._call_ids = itertools.count(1)
        self._timers = timers.TimerQueue()
        self._replies = replies.ReplyCollector(instance, self._subs_by_query.__contains__)
        self._call_requests = call_requests.CallRequestCollector()

    @property
    def active(self) -> int:
        """Number of calls in flight plus number of queries with open sub-requests."""
        return len(self._call_by_id) + len(self._subs_by_query)

    def next_wake(self) -> float | None:
        """Returns when ``TimeReached`` is next due, in monotonic seconds, or None."""
        wakes = (self._timers.next_due(), self._replies.next_due())
        return min((wake for wake in wakes if wake is not None), default=None)

    def handle(self, event: events.OwnerEvent) -> list[events.Command]:
        """Processes an event and returns the commands to execute, in order."""
        commands: list[events.Command] = []
        match event:
            case events.BatchArrived():
                self._handle_batch(event.batch, commands)
            case events.CallReplied():
                self._handle_reply(event, commands)
            case events.CallFailed():
                self._handle_failure(event, commands)
            case events.CallsAllowed():
                self._handle_allowances(event.message, commands)
            case events.CancelArrived():
                self._handle_cancel(event, commands)
            case events.ViewChanged():
                self._handle_view(event, commands)
            case events.TimeReached():
                for action in self._timers.pop_due(self._clock.monotonic()):
                    action(commands)
        commands.extend(self._replies.flush(self._clock.monotonic()))
        commands.extend(self._call_requests.flush())
        return commands

    def _handle_view(self, event: events.ViewChanged, commands: list[events.Command]) -> None:
        self._tables = event.tables
        limit_share = self._policies.ownership.limit_share(event.cells or len(event.instances))
        now = self._clock.monotonic()
        for key, state in self._shard_by_key.items():
            pool = self._tables.pool_by_id.get(key[0])
            servers = pool.servers_by_service.get(key[1], ()) if pool else ()
            if limit_share != self._limit_share or not state.is_current(servers):
                state.keys = shard.fixed_keys(pool, key[1]) if pool else state.keys
                state.update(servers, limit_share, now)
                self._dispatch(state, commands)
        self._limit_share = limit_share

    def _handle_batch(self, batch: messages.SubBatch, commands: list[events.Command]) -> None:
        now = self._clock.monotonic()
        for service in batch.services:
            self._accept(subrequest.make_sub_request(batch, service, now), commands)

    def _accept(self, sub: subrequest.SubRequest, commands: list[events.Command]) -> None:
        """Queues a sub-request, or refuses it if its shard is undefined or the queue is full."""
        state = self._get_shard(sub.query.pool, sub.service)
        if state is None:
            self._refuse(sub, data.Refusal.SERVICE_NOT_DEFINED, commands)
            return
        if state.queued_count >= SHARD_QUEUE_LENGTH_MAX:
            self._refuse(sub, data.Refusal.QUEUE_FULL, commands)
            return
        self._subs_by_query.setdefault(sub.query.query_id, []).append(sub)
        self._timers.schedule(sub.deadline, lambda out: self._expire(state, sub, out))
        state.push(sub)
        self._dispatch(state, commands)

    def _dispatch(self, state: shard.ShardState, commands: list[events.Command]) -> None:
        """Starts calls while sub-requests are queued and servers have free capacity."""
        now = self._clock.monotonic()
        deferred: list[subrequest.SubRequest] = []
        while state.queued_count and state.has_capacity(now):
            sub = state.pop()
            if sub is None:
                break
            candidates = state.candidates(sub, now)
            if state.cannot_meet_deadline(sub, now):
                self._fail(state, sub, data.Refusal.EXPIRED_IN_QUEUE, commands)
            elif candidates:
                self._start_call(state, sub, candidates, commands)
            elif state.has_untried(sub, now):
                deferred.append(sub)
            else:
                self._fail(state, sub, state.refusal_without_server(sub, now), commands)
        for sub in deferred:
            state.push(sub)
        self._refuse_without_server(state, now, commands)

    def _refuse_without_server(
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

    def _start_call(
        self,
        state: shard.ShardState,
        sub: subrequest.SubRequest,
        candidates: list[server.ServerState],
        commands: list[events.Command],
    ) -> None:
        """Calls the candidate that the policy prefers, and schedules a hedge if one is possible."""
        now = self._clock.monotonic()
        hedge_policy = self._hedge_policies.policy_for(sub)
        chosen = shard.choose_server(
            self._policies.balance, candidates, self._zone, hedge_policy.median_seconds(), now
        )
        call = subrequest.Call(next(self._call_ids), sub, chosen, now)
        if not sub.calls:
            sub.queue_delay_seconds = now - sub.arrived_at
        sub.calls += 1
        sub.tried_server_ids.append(chosen.server.server_id)
        sub.call_by_id[call.call_id] = call
        chosen.started_at_by_call_id[call.call_id] = now
        self._call_by_id[call.call_id] = call
        choices = shard.describe_choices(candidates, hedge_policy.median_seconds(), now)
        commands.append(subrequest.make_start_call(call, choices))
        delay = hedge_policy.delay_seconds(sub.query.hedge_budget)
        if delay is not None and sub.query.repeatable and hedging.may_hedge(sub):
            self._timers.schedule(now + delay, lambda out: self._try_hedge(state, sub, out))

    def _try_hedge(
        self, state: shard.ShardState, sub: subrequest.SubRequest, commands: list[events.Command]
    ) -> None:
        """Makes a hedge call, requests permission for it, or retries later if no server is free."""
        if sub.closed or sub.queued or not sub.call_by_id or not hedging.may_hedge(sub):
            return
        now = self._clock.monotonic()
        candidates = state.hedge_candidates(sub, now)
        if candidates and sub.calls < sub.allowed:
            commands.append(events.CountRetry(data.RetryReason.HEDGE))
            self._start_call(state, sub, candidates, commands)
        elif candidates:
            self._call_requests.add(sub, data.RetryReason.HEDGE)
        else:
            self._schedule_hedge(state, sub)

    def _schedule_hedge(self, state: shard.ShardState, sub: subrequest.SubRequest) -> None:
        hedge = functools.partial(self._try_hedge, state, sub)
        self._timers.schedule(self._clock.monotonic() + HEDGE_RETRY_SECONDS, hedge)

    def _handle_allowances(
        self, message: messages.CallsAllowed, commands: list[events.Command]
    ) -> None:
        """Applies the entry's response to requests for more calls."""
        sub_by_key = {
            (sub.service, sub.attempt): sub for sub in self._subs_by_query.get(message.query_id, ())
        }
        for allowance in message.allowances:
            sub = sub_by_key.get((allowance.service, allowance.attempt))
            if sub is not None and sub.pending_request_reason is not None:
                self._apply_allowance(sub, allowance.allowed, commands)

    def _apply_allowance(
        self, sub: subrequest.SubRequest, allowed: int, commands: list[events.Command]
    ) -> None:
        """Makes the call if it was allowed; else postpones the hedge or fails the sub-request."""
        state = self._shard_by_key[(sub.query.pool, sub.service)]
        reason, sub.pending_request_reason = sub.pending_request_reason, None
        is_granted = allowed > sub.allowed
        sub.allowed = max(sub.allowed, allowed)
        if sub.call_by_id and is_granted:
            self._try_hedge(state, sub, commands)
        elif sub.call_by_id:
            self._schedule_hedge(state, sub)
        elif is_granted:
            commands.append(events.CountRetry(reason))
            state.push(sub)
            self._dispatch(state, commands)
        else:
            self._fail(state, sub, sub.last_failure or data.Refusal.NO_SERVER, commands)

    def _handle_reply(self, event: events.CallReplied, commands: list[events.Command]) -> None:
        call = self._remove_call(event.call_id)
        if call is None:
            return
        now = self._clock.monotonic()
        state = self._shard_by_key[(call.sub.query.pool, call.sub.service)]
        latency = now - call.started_at
        hedge_policy = self._hedge_policies.policy_for(call.sub)
        call.server.record_reply(latency, hedge_policy.median_seconds(), now)
        call.server.update_holdings(event.holdings, now)
        hedge_policy.record(latency)
        if event.draining:
            call.server.record_draining(now)
        if not call.sub.closed:
            self._replies.add_part(call.sub, state.make_part(call.sub, event), event.results)
            self._close(call.sub, commands)
        self._dispatch(state, commands)

    def _handle_failure(self, event: events.CallFailed, commands: list[events.Command]) -> None:
        call = self._remove_call(event.call_id)
        if call is None:
            return
        event = shard.classify_failure(event)
        now = self._clock.monotonic()
        sub = call.sub
        state = self._shard_by_key[(sub.query.pool, sub.service)]
        hedge_policy = self._hedge_policies.policy_for(sub)
        if event.reason is data.Refusal.CANCELLED:
            hedge_policy.record(now - call.started_at)
        state.record_failure(call, event, hedge_policy.median_seconds(), now)
        if not call.cancelled:
            commands.append(events.CountRefusal(event.reason))
        sub.may_have_run = sub.may_have_run or event.may_have_run
        sub.unused_calls += not event.may_have_run
        sub.last_failure = event.reason
        sub.last_response = event.response or sub.last_response
        if not sub.closed and not sub.call_by_id and not sub.queued:
            self._retry(state, sub, event, commands)
        self._dispatch(state, commands)

    def _retry(
        self,
        state: shard.ShardState,
        sub: subrequest.SubRequest,
        event: events.CallFailed,
        commands: list[events.Command],
    ) -> None:
        """Retries or requests permission to, if safe and useful; else fails the sub-request."""
        now = self._clock.monotonic()
        is_safe = sub.query.repeatable or not sub.may_have_run
        reason = data.RetryReason.LOST if event.may_have_run else data.RetryReason.REFUSED
        is_useful = hedging.may_retry(sub) and now < sub.deadline and state.has_untried(sub, now)
        if not (is_safe and is_useful):
            self._fail(state, sub, event.reason, commands)
        elif sub.calls < sub.allowed:
            commands.append(events.CountRetry(reason))
            state.push(sub)
        else:
            self._call_requests.add(sub, reason)

    def _expire(
        self, state: shard.ShardState, sub: subrequest.SubRequest, commands: list[events.Command]
    ) -> None:
        """Fails a sub-request that has reached its deadline."""
        if sub.closed:
            return
        is_running = bool(sub.call_by_id)
        sub.may_have_run = sub.may_have_run or is_running
        reason = data.Refusal.TIMEOUT if is_running else data.Refusal.EXPIRED_IN_QUEUE
        self._fail(state, sub, reason, commands)

    def _handle_cancel(self, event: events.CancelArrived, commands: list[events.Command]) -> None:
        """Closes a query's sub-requests; calls for non-repeatable requests continue."""
        for sub in list(self._subs_by_query.get(event.query_id, ())):
            if event.services and sub.service not in event.services:
                continue
            self._shard_by_key[(sub.query.pool, sub.service)].withdraw(sub)
            self._close(sub, commands)
            for call in list(sub.call_by_id.values()) if event.is_abandoned else ():
                self._cancel_call(call, commands)

    def _fail(
        self,
        state: shard.ShardState,
        sub: subrequest.SubRequest,
        reason: data.Refusal,
        commands: list[events.Command],
    ) -> None:
        """Reports to the entry that a sub-request failed, and closes it."""
        state.withdraw(sub)
        if sub.last_failure is not None and reason is data.Refusal.NO_SERVER:
            reason = sub.last_failure
        self._replies.add_failure(sub, subrequest.make_failure(sub, reason, state.holdings()))
        self._close(sub, commands)

    def _refuse(
        self, sub: subrequest.SubRequest, reason: data.Refusal, commands: list[events.Command]
    ) -> None:
        """Reports to the entry that a sub-request was refused before it was queued."""
        commands.append(events.CountRefusal(reason))
        self._replies.add_failure(sub, fanout.Failure(sub.service, sub.attempt, reason, False))

    def _close(self, sub: subrequest.SubRequest, commands: list[events.Command]) -> None:
        """Removes a sub-request, and cancels its calls once they have run for a grace period.

        A call that completes keeps its connection reusable and yields its exact latency.
        """
        sub.closed = True
        subs = self._subs_by_query[sub.query.query_id]
        subs.remove(sub)
        if not subs:
            del self._subs_by_query[sub.query.query_id]
        median_seconds = self._hedge_policies.policy_for(sub).median_seconds()
        grace = median_seconds * self._options.finish_latencies
        now = self._clock.monotonic()
        for call in list(sub.call_by_id.values()):
            cancel = functools.partial(self._cancel_call, call)
            if call.started_at + grace <= now:
                cancel(commands)
            else:
                self._timers.schedule(call.started_at + grace, cancel)

    def _cancel_call(self, call: subrequest.Call, commands: list[events.Command]) -> None:
        """Cancels a call whose results are not needed, if its query is repeatable."""
        is_in_flight = call.call_id in self._call_by_id
        if is_in_flight and call.sub.query.repeatable and not call.cancelled:
            call.cancelled = True
            commands.append(events.CancelCall(call.call_id))

    def _remove_call(self, call_id: int) -> subrequest.Call | None:
        call = self._call_by_id.pop(call_id, None)
        if call is not None:
            del call.server.started_at_by_call_id[call_id]
            del call.sub.call_by_id[call_id]
        return call

    def _get_shard(self, pool_id: data.PoolId, service: data.ServiceId) -> shard.ShardState | None:
        """Returns a shard's state, created on first use; None if undefined or no server is left."""
        state = self._shard_by_key.get((pool_id, service))
        if state is not None:
            return state if state.server_by_id else None
        pool = self._tables.pool_by_id.get(pool_id)
        servers = pool.servers_by_service.get(service) if pool else None
        if servers is None:
            return None
        grace = self._options.leaving_grace_seconds
        state = shard.ShardState(pool_id, service, self._policies.make_order(), grace)
        state.keys = shard.fixed_keys(pool, service)
        # It is unknown when leaving servers began to leave; their grace period counts as over.
        state.update(servers, self._limit_share, -math.inf)
        self._shard_by_key[(pool_id, service)] = state
        return state
