"""Owner kernel: queues sub-requests and schedules calls, hedges and retries, without I/O."""

import functools
import itertools
from collections.abc import Iterable

from monsoonhoist.core import clock, data
from monsoonhoist.protocol import events, fanout, messages
from monsoonhoist.shards import (
    call_requests,
    call_times,
    cold_waits,
    hedging,
    kernel_config,
    open_work,
    replies,
    server,
    server_reports,
    server_waits,
    shard,
    shard_table,
    slot_use,
    subrequest,
    timers,
)

SHARD_QUEUE_LENGTH_MAX = 512
# Delay before retrying a hedge that found no free server or that the entry did not allow.
HEDGE_RETRY_SECONDS = 0.02
# Most sub-requests that one pass through a queue leaves waiting while a server of the shard starts
# slowly. Such a server receives few of them, and each pass would otherwise go through all of them.
PACED_DEFERRALS_MAX = 8


class OwnerKernel:
    """Decides which backend servers one instance calls, when and how often.

    Args:
        instance: This instance.
        zone: Availability zone of this instance.
        time_source: The clock.
        policies: Policies for ownership, balancing, queue order and hedging.
        options: Options of the kernels of this instance.

    Attributes:
        reports: What servers have said about themselves.
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
        self._shards = shard_table.ShardTable(policies, options)
        self._hedge_policies = hedging.HedgePolicies(policies.make_hedge)
        self._call_ids = itertools.count(1)
        self._timers = timers.TimerQueue()
        self._call_times = call_times.CallTimes(time_source, options.load_scheduling.goal_order)
        self._work = open_work.OpenWork(
            time_source, self._timers, self._hedge_policies, options.finish_latencies, instance
        )
        rank_slots = options.load_scheduling.rank_slots
        self._slot_use = slot_use.SlotUse(time_source, self._work, rank_slots)
        self._replies = replies.ReplyCollector(instance, self._work.has_query)
        self._call_requests = call_requests.CallRequestCollector()
        self._quota_waits = cold_waits.QuotaWaits(self._timers, self._dispatch, self._fail)
        self._server_waits = server_waits.ServerWaits(self._timers, self._dispatch, self._fail)
        self.reports = server_reports.ServerReports(instance, time_source, self._shards)

    @property
    def active(self) -> int:
        """Number of calls in flight plus number of queries with open sub-requests."""
        return self._work.active

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
            case events.ServerReported():
                affected = self.reports.record(event.server, event.report, commands)
                self._dispatch_all(affected, commands)
            case events.ServersLeaving():
                self._dispatch_all(self.reports.record_leaving(event.message), commands)
            case events.TimeReached():
                for action in self._timers.pop_due(self._clock.monotonic()):
                    action(commands)
        commands.extend(self._replies.flush(self._clock.monotonic()))
        commands.extend(self._call_requests.flush())
        if self._shards.starts.reports:
            commands.extend(self._shards.starts.flush())
        return commands

    def _handle_view(self, event: events.ViewChanged, commands: list[events.Command]) -> None:
        now = self._clock.monotonic()
        cell_count = event.cells or len(event.instances)
        self._shards.starts.cell_count = cell_count
        limit_share = self._policies.ownership.limit_share(cell_count)
        turned_cold = self._shards.cold.update(event, self._instance, now)
        changed = self._shards.update(event.tables, limit_share, now)
        self._shards.mark_cold(turned_cold, now)
        self._dispatch_all(changed, commands)
        self.reports.set_cell(event.cell)
        self._shards.prune(self._work.sub_requests(), now)
        self._hedge_policies.retain(event.tables.route_by_id)
        self._call_times.retain(event.tables.route_by_id)
        self._slot_use.retain(event.tables)

    def _handle_batch(self, batch: messages.SubBatch, commands: list[events.Command]) -> None:
        now = self._clock.monotonic()
        for service in batch.services:
            self._accept(subrequest.make_sub_request(batch, service, now), commands)

    def _accept(self, sub: subrequest.SubRequest, commands: list[events.Command]) -> None:
        """Queues a sub-request, or refuses it if its shard is undefined or too much is queued."""
        state = self._shards.find_or_create(sub.query.pool, sub.service)
        if state is None:
            self._refuse(sub, data.Refusal.SERVICE_NOT_DEFINED, commands)
            return
        if state.queued_count >= SHARD_QUEUE_LENGTH_MAX or self._has_too_long_body(sub):
            self._refuse(sub, data.Refusal.QUEUE_FULL, commands)
            return
        sub.start_by = self._call_times.start_by(sub)
        self._work.add_sub_request(sub)
        self._timers.schedule(sub.deadline, lambda out: self._expire(state, sub, out))
        state.push(sub)
        self._dispatch(state, commands)

    def _has_too_long_body(self, sub: subrequest.SubRequest) -> bool:
        """Returns whether a body of another instance exceeds what may be held for others."""
        most = self._options.foreign_body_bytes_max
        body_bytes = len(sub.query.content.body)
        if not most or not body_bytes or sub.origin == self._instance:
            return False
        is_held = self._work.has_query(sub.query.query_id)
        return not is_held and self._work.foreign_body_bytes + body_bytes > most

    def _dispatch_all(
        self, states: Iterable[shard.ShardState], commands: list[events.Command]
    ) -> None:
        """Starts calls at several shards."""
        for state in states:
            self._dispatch(state, commands)

    def _dispatch(self, state: shard.ShardState, commands: list[events.Command]) -> None:
        """Starts calls while sub-requests are queued and servers have free capacity."""
        now = self._clock.monotonic()
        deferred: list[subrequest.SubRequest] = []
        while state.queued_count and state.has_capacity(now):
            sub = state.pop(now)
            if sub is None:
                break
            free = state.candidates(sub, now)
            candidates = self._slot_use.allowed(sub, free)
            is_too_late = state.cannot_meet_deadline(sub, now)
            if self._call_times.is_too_late(sub, commands, otherwise=is_too_late):
                self._fail(state, sub, data.Refusal.EXPIRED_IN_QUEUE, commands)
            elif candidates:
                self._start_call(state, sub, candidates, commands)
            elif state.has_untried(sub, now) or self._server_waits.may_wait(state, sub, now):
                deferred.append(sub)
                self._slot_use.note_held(sub, free, commands)
                if len(deferred) >= PACED_DEFERRALS_MAX and server.is_any_starting(
                    state.server_by_id.values()
                ):
                    break
            else:
                self._fail(state, sub, state.refusal_without_server(sub, now), commands)
        for sub in deferred:
            state.push(sub)
        self._server_waits.refuse_unserved(state, now, commands)
        if state.queued_count:
            self._quota_waits.update(state, now, commands)

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
        if chosen.cold is not None:
            chosen.cold.quota.record_call(now)
        call = subrequest.Call(next(self._call_ids), sub, chosen, now)
        self._work.add_call(call)
        self._call_times.note_start(sub, commands)
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
        if self._call_times.is_too_late(sub, commands):
            return
        now = self._clock.monotonic()
        candidates = self._slot_use.allowed(sub, state.hedge_candidates(sub, now))
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
        sub_by_key = {(sub.service, sub.attempt): sub for sub in self._work.find(message.query_id)}
        for allowance in message.allowances:
            sub = sub_by_key.get((allowance.service, allowance.attempt))
            if sub is not None and sub.pending_request_reason is not None:
                self._apply_allowance(sub, allowance.allowed, commands)

    def _apply_allowance(
        self, sub: subrequest.SubRequest, allowed: int, commands: list[events.Command]
    ) -> None:
        """Makes the call if it was allowed; else postpones the hedge or fails the sub-request."""
        state = self._shards.get(sub.query.pool, sub.service)
        reason, sub.pending_request_reason = sub.pending_request_reason, None
        next_reason, sub.next_request_reason = sub.next_request_reason, None
        is_granted = allowed > sub.allowed
        sub.allowed = max(sub.allowed, allowed)
        if sub.call_by_id and is_granted:
            self._try_hedge(state, sub, commands)
        elif sub.call_by_id:
            self._schedule_hedge(state, sub)
        elif is_granted:
            commands.append(events.CountRetry(next_reason or reason))
            state.push(sub)
            self._dispatch(state, commands)
        elif next_reason is not None:
            # The denial was for a hedge, and the call has failed since; a retry may be allowed.
            self._call_requests.add(sub, next_reason)
        else:
            self._fail(state, sub, sub.last_failure or data.Refusal.NO_SERVER, commands)

    def _handle_reply(self, event: events.CallReplied, commands: list[events.Command]) -> None:
        call = self._work.remove_call(event.call_id)
        if call is None:
            return
        now = self._clock.monotonic()
        state = self._shards.get(call.sub.query.pool, call.sub.service)
        latency = now - call.started_at
        affected = self.reports.record(call.server.server, event.report, commands)
        self._dispatch_all(affected, commands)
        hedge_policy = self._hedge_policies.policy_for(call.sub)
        self._call_times.record(call.sub, latency)
        median = hedge_policy.median_seconds()
        call.server.record_reply(latency, median, event.report.load, now)
        call.server.update_holdings(event.holdings, now)
        hedge_policy.record(latency)
        if event.draining:
            call.server.record_draining(now)
        if not call.sub.closed:
            self._replies.add_part(call.sub, state.make_part(call.sub, event), event.results)
            self._work.close(call.sub, commands)
        self._dispatch(state, commands)

    def _handle_failure(self, event: events.CallFailed, commands: list[events.Command]) -> None:
        call = self._work.remove_call(event.call_id)
        if call is None:
            return
        event = shard.classify_failure(event)
        now = self._clock.monotonic()
        affected = self.reports.record(call.server.server, event.report, commands)
        self._dispatch_all(affected, commands)
        sub = call.sub
        state = self._shards.get(sub.query.pool, sub.service)
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
        is_useful = hedging.may_retry(sub) and now < sub.deadline
        is_useful = is_useful and not self._call_times.is_too_late(sub, commands)
        has_server = state.has_untried(sub, now) or self._server_waits.may_wait(state, sub, now)
        if not (is_safe and is_useful and has_server):
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
        for sub in self._work.find(event.query_id):
            if event.services and sub.service not in event.services:
                continue
            self._shards.get(sub.query.pool, sub.service).withdraw(sub)
            self._work.close(sub, commands)
            for call in list(sub.call_by_id.values()) if event.is_abandoned else ():
                self._work.cancel_call(call, commands)

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
        failure = state.make_failure(sub, reason, self._clock.monotonic())
        self._replies.add_failure(sub, failure)
        self._work.close(sub, commands)

    def _refuse(
        self, sub: subrequest.SubRequest, reason: data.Refusal, commands: list[events.Command]
    ) -> None:
        """Reports to the entry that a sub-request was refused before it was queued."""
        commands.append(events.CountRefusal(reason))
        self._replies.add_failure(sub, fanout.Failure(sub.service, sub.attempt, reason, False))
