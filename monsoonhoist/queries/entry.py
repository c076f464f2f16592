"""Entry kernel: admits queries, fans them out to owners and answers them, without I/O."""

import heapq
import math

from monsoonhoist.core import clock, data, scheduling
from monsoonhoist.overload import budget
from monsoonhoist.policy import admission, ownership
from monsoonhoist.protocol import events, messages
from monsoonhoist.queries import (
    allowances,
    answer_builder,
    answer_timing,
    failover,
    intake,
    owner_selector,
    plan,
    pool_selector,
    pool_states,
    query,
    queue_pressure,
)

# Most reruns of one query at another snapshot.
RERUNS_MAX = 2
# After this many sub-requests for a shard, a lost or refused one is not resent.
SUB_REQUESTS_MAX = 4
# If an owner timeout is handled late by more than this, no owner is marked as silent, because the
# messages of owners may have arrived without having been read yet.
TIMER_DELAY_MAX_SECONDS = 0.02


class EntryKernel:
    """Decides how the queries of one entry proceed.

    Args:
        instance: This instance.
        time_source: The clock.
        owner_policy: Policy that assigns shards to owners.
        admission_class: Admission policy; instantiated once for each pool.
        extra_calls: Size of the budgets for calls beyond the first of each shard.
        load_scheduling: Mechanisms that schedule work under load.
    """

    def __init__(
        self,
        instance: data.InstanceId,
        time_source: clock.Clock,
        owner_policy: ownership.Ownership,
        admission_class: type[admission.Admission],
        extra_calls: budget.BudgetOptions,
        load_scheduling: scheduling.Options,
    ):
        self._instance = instance
        self._clock = time_source
        self._owner_selector = owner_selector.OwnerSelector(owner_policy, instance)
        self._allowances = allowances.Allowances(extra_calls, time_source)
        self._answer_timing = answer_timing.AnswerTiming(load_scheduling)
        self._failover = failover.OwnerFailover(instance, self._owner_selector, self._allowances)
        self._tables = data.Tables({}, {})
        self._pool_states = pool_states.PoolStates(admission_class, load_scheduling.fair_admission)
        self._query_by_id: dict[data.QueryId, query.QueryState] = {}
        self._pool_selector = pool_selector.PoolSelector()
        self._timer_heap: list[tuple[float, data.QueryId]] = []

    @property
    def active_queries(self) -> int:
        """Number of queries in progress."""
        return len(self._query_by_id)

    def next_wake(self) -> float | None:
        """Returns when ``TimeReached`` is next due, in monotonic seconds, or None."""
        while self._timer_heap and self._timer_heap[0][1] not in self._query_by_id:
            heapq.heappop(self._timer_heap)
        return self._timer_heap[0][0] if self._timer_heap else None

    def handle(self, event: events.EntryEvent) -> list[events.Command]:
        """Processes an event and returns the commands to execute, in order."""
        match event:
            case events.QueryArrived():
                return self._handle_query(event)
            case events.CallerLeft():
                return self._handle_caller_left(event.query_id)
            case events.BatchTaken():
                return self._handle_batch_taken(event)
            case events.CallsWanted():
                return self._handle_calls_wanted(event)
            case events.ReplyArrived():
                return self._handle_reply(event)
            case events.PeerLost():
                return self._handle_peer_lost(event.instance)
            case events.BatchUnsent():
                return self._handle_batch_unsent(event)
            case events.ViewChanged():
                return self._handle_view(event)
            case events.AnswersDue():
                return self._answer_all()
            case events.TimeReached():
                return self._handle_time_reached()

    def _handle_view(self, event: events.ViewChanged) -> list[events.Command]:
        self._tables = event.tables
        instances = event.cell or event.instances
        self._owner_selector.set_instances(instances, event.topology)
        self._allowances.set_share(event.budget_share)
        pools = self._tables.pool_by_id
        busy_pools = {state.pool.pool_id for state in self._query_by_id.values()}
        self._pool_states.retain(pools.keys() | busy_pools)
        self._allowances.prune(
            {service for pool in pools.values() for service in pool.servers_by_service}
        )
        return []

    def _handle_query(self, event: events.QueryArrived) -> list[events.Command]:
        """Refuses a query, or sends its first sub-requests and schedules its timers."""
        accepted = intake.check(event, self._tables, self._pool_selector)
        if isinstance(accepted, intake.Refused):
            return intake.refuse(event, accepted.reason, accepted.detail)
        route, pool = accepted.route, accepted.pool
        pool_id = pool.pool_id
        now = self._clock.monotonic()
        verdict = self._pool_states.admit(pool_id, route.rank, event, now)
        if not verdict.is_admitted:
            return intake.refuse_overload(event, accepted, verdict)
        pool_snapshots = self._pool_states.snapshots_for(pool_id)
        remaining_ms = event.remaining_ms or accepted.deadline_max_ms
        margin = self._answer_timing.margin_seconds(len(pool.servers_by_service))
        state = plan.make_query(event, route, pool, pool_snapshots, remaining_ms, now, margin)
        state.responsive_instances.add(self._instance)
        state.account = verdict.account
        self._allowances.register_query(state)
        self._query_by_id[event.query_id] = state
        heapq.heappush(self._timer_heap, (state.deadline, event.query_id))
        if route.repeatable:
            heapq.heappush(self._timer_heap, (state.owner_timeout.expires_at, event.query_id))
            heapq.heappush(self._timer_heap, (state.partial_allowed_at, event.query_id))
        commands: list[events.Command] = []
        self._send(state, state.services, commands)
        return commands

    def _send(
        self,
        state: query.QueryState,
        services: tuple[data.ServiceId, ...],
        commands: list[events.Command],
        lost_instance: data.InstanceId | None = None,
    ) -> None:
        """Sends sub-requests, in one batch for each owner.

        Args:
            state: The query.
            services: Shards to which sub-requests are sent.
            commands: The commands are appended to this list.
            lost_instance: An owner to avoid because its stream has ended.
        """
        services_by_batch: dict[tuple[data.InstanceId, int], list[data.ServiceId]] = {}
        for service in services:
            owner = self._owner_selector.choose(state.pool.pool_id, service, lost_instance)
            attempt = state.start_sub_request(service, owner)
            services_by_batch.setdefault((owner, attempt), []).append(service)
        spec = state.spec_at(self._clock.monotonic())
        for (owner, attempt), batch_services in services_by_batch.items():
            batch = messages.SubBatch(
                self._instance, spec, state.snapshot, attempt, tuple(batch_services)
            )
            commands.append(events.SendMessage(owner, batch))

    def _handle_batch_taken(self, event: events.BatchTaken) -> list[events.Command]:
        """Records that an owner is working on a query."""
        self._owner_selector.mark_responsive(event.instance)
        state = self._query_by_id.get(event.query_id)
        if state is not None:
            state.responsive_instances.add(event.instance)
        return []

    def _handle_calls_wanted(self, event: events.CallsWanted) -> list[events.Command]:
        """Replies to an owner that requests more calls."""
        self._owner_selector.mark_responsive(event.sender)
        state = self._query_by_id.get(event.message.query_id)
        if state is None:
            # The owner was sent a cancellation, or closes its sub-requests at their deadline.
            return []
        state.responsive_instances.add(event.sender)
        commands: list[events.Command] = []
        reply = self._allowances.decide(state, event.message, commands.append)
        commands.append(events.SendMessage(event.sender, reply))
        return commands

    def _handle_reply(self, event: events.ReplyArrived) -> list[events.Command]:
        """Records a reply, resends refused work, and answers the query if possible."""
        self._owner_selector.mark_responsive(event.sender)
        state = self._query_by_id.get(event.reply.query_id)
        if state is None:
            return [events.CountLateReply()]
        pool_snapshots = self._pool_states.snapshots_for(state.pool.pool_id)
        for part in event.reply.parts:
            pool_snapshots.record_holdings(part.service, part.holdings)
        for failure in event.reply.failures:
            pool_snapshots.record_holdings(failure.service, failure.holdings)
        state.responsive_instances.add(event.sender)
        if not state.record_reply(event.reply):
            return [events.CountLateReply()]
        commands: list[events.Command] = []
        queue_pressure.record(state, event.reply, commands)
        if not state.route.repeatable:
            self._resend_refused(state, commands)
        return commands + self._finish_or_rerun(state)

    def _resend_refused(self, state: query.QueryState, commands: list[events.Command]) -> None:
        """Resends a non-repeatable request if it is proved not to have run."""
        service = state.services[0]
        shard = state.shard_by_service[service]
        was_refused = shard.failure is not None and not shard.may_have_run
        may_resend = (
            was_refused and not shard.pending_by_attempt and shard.sub_requests < SUB_REQUESTS_MAX
        )
        if may_resend and self._allowances.try_reserve_sub_request(state, service):
            shard.failure = None
            commands.append(events.CountRetry(data.RetryReason.REFUSED))
            self._send(state, (service,), commands)

    def _finish_or_rerun(self, state: query.QueryState) -> list[events.Command]:
        """Answers a query if that is possible now, or reruns it at another snapshot."""
        if state.route.repeatable:
            if state.has_full_coverage() or self._may_finish_early(state):
                return self._finish(state)
            if state.is_settled() and (commands := self._rerun(state)):
                return commands
            if not state.can_reach_minimum_coverage():
                return self._finish(state)
        return self._finish(state) if state.is_settled() else []

    def _may_finish_early(self, state: query.QueryState) -> bool:
        """Returns whether the route accepts a partial answer now and the coverage suffices."""
        now = self._clock.monotonic()
        if now < state.partial_allowed_at or not state.has_minimum_coverage():
            return False
        wait_until = self._answer_timing.wait_until(state, now)
        if wait_until > now:
            heapq.heappush(self._timer_heap, (wait_until, state.spec.query_id))
        return wait_until <= now

    def _rerun(self, state: query.QueryState) -> list[events.Command]:
        """Queries shards at the snapshot now known to cover the most keys, if it has changed."""
        pool_snapshots = self._pool_states.snapshots_for(state.pool.pool_id)
        best_snapshot = pool_snapshots.best_snapshot(state.services)
        if best_snapshot in (data.LATEST_SNAPSHOT, state.snapshot) or state.reruns >= RERUNS_MAX:
            return []
        state.reruns += 1
        state.snapshot = best_snapshot
        if state.has_full_coverage():
            return self._finish(state)
        commands: list[events.Command] = []
        missing = tuple(
            service
            for service in state.missing_services()
            if self._allowances.try_reserve_sub_request(state, service)
        )
        commands.extend(events.CountRetry(data.RetryReason.SNAPSHOT) for _ in missing)
        self._send(state, missing, commands)
        return commands

    def _handle_peer_lost(self, instance: data.InstanceId) -> list[events.Command]:
        """Reassigns the pending sub-requests of an instance whose stream has ended."""
        self._owner_selector.mark_responsive(instance)
        commands: list[events.Command] = []
        for state in list(self._query_by_id.values()):
            lost = state.fail_pending(instance, may_have_run=True)
            self._reassign_lost(state, instance, lost, commands)
        return commands

    def _handle_batch_unsent(self, event: events.BatchUnsent) -> list[events.Command]:
        """Reassigns the sub-requests of a batch that was not sent."""
        commands: list[events.Command] = []
        state = self._query_by_id.get(event.query_id)
        if state is not None:
            lost = state.fail_pending(event.instance, may_have_run=False, attempt=event.attempt)
            self._reassign_lost(state, event.instance, lost, commands)
        return commands

    def _reassign_lost(
        self,
        state: query.QueryState,
        instance: data.InstanceId,
        lost: tuple[data.ServiceId, ...],
        commands: list[events.Command],
    ) -> None:
        """Resends lost sub-requests if that is safe and allowed; answers the query if possible."""
        if not lost:
            return
        commands.extend(events.CountRefusal(data.Refusal.PEER_LOST) for _ in lost)
        resent = tuple(service for service in lost if self._try_reserve_resend(state, service))
        if resent:
            commands.extend(events.CountRetry(data.RetryReason.OWNER_LOST) for _ in resent)
            self._send(state, resent, commands, lost_instance=instance)
        commands.extend(self._finish_or_rerun(state))

    def _try_reserve_resend(self, state: query.QueryState, service: data.ServiceId) -> bool:
        """Returns whether a lost sub-request may be resent, and reserves the new one if so."""
        shard = state.shard_by_service[service]
        is_redundant = state.snapshot in shard.part_by_snapshot or bool(shard.pending_by_attempt)
        is_safe = state.route.repeatable or not shard.may_have_run
        may_resend = is_safe and not is_redundant and shard.sub_requests < SUB_REQUESTS_MAX
        return may_resend and self._allowances.try_reserve_sub_request(state, service)

    def _handle_time_reached(self) -> list[events.Command]:
        """Answers queries that are due and handles owners that exceeded their timeout."""
        now = self._clock.monotonic()
        commands: list[events.Command] = []
        while self._timer_heap and self._timer_heap[0][0] <= now:
            due_at, query_id = heapq.heappop(self._timer_heap)
            state = self._query_by_id.get(query_id)
            if state is None:
                continue
            self._answer_timing.record_lag(now - due_at)
            if state.deadline <= now:
                commands.append(events.CountRefusal(data.Refusal.TIMEOUT))
                commands.extend(self._finish(state))
            elif self._may_finish_early(state):
                commands.extend(self._finish(state))
            elif state.owner_timeout.expires_at <= now:
                self._handle_owner_timeout(state, now, commands)
        return commands

    def _answer_all(self) -> list[events.Command]:
        """Answers all queries with what they have, since the instance stops."""
        states = list(self._query_by_id.values())
        counts = [events.CountRefusal(data.Refusal.LEAVING) for _ in states]
        return counts + [command for state in states for command in self._finish(state)]

    def _handle_owner_timeout(
        self, state: query.QueryState, now: float, commands: list[events.Command]
    ) -> None:
        """Fails over from silent owners; if handled too late, extends the timeout instead."""
        if now - state.owner_timeout.expires_at > TIMER_DELAY_MAX_SECONDS:
            state.owner_timeout.expires_at = now + TIMER_DELAY_MAX_SECONDS
        else:
            self._fail_over(state, now, commands)
        if state.owner_timeout.expires_at < state.deadline:
            heapq.heappush(self._timer_heap, (state.owner_timeout.expires_at, state.spec.query_id))

    def _fail_over(
        self, state: query.QueryState, now: float, commands: list[events.Command]
    ) -> None:
        """Resends sub-requests of silent owners to stand-bys, and checks that others respond."""
        silent_services = self._failover.fail_silent_owners(state, commands)
        if silent_services:
            self._send(state, silent_services, commands)
        if not self._failover.check_owners(state, now, commands):
            state.owner_timeout.expires_at = math.inf

    def _finish(self, state: query.QueryState) -> list[events.Command]:
        """Responds to the caller and cancels the sub-requests that are still pending."""
        del self._query_by_id[state.spec.query_id]
        counts = self._answer_timing.count_answer(state, self._clock.monotonic())
        state.select_best_snapshot()
        self._pool_states.finish(state, self._clock.monotonic())
        respond = events.Respond(
            state.spec.query_id,
            answer_builder.make_answer(state),
            answer_builder.make_attachments(state),
        )
        return [*counts, respond, *self._cancel_pending(state)]

    def _handle_caller_left(self, query_id: data.QueryId) -> list[events.Command]:
        """Abandons a query whose caller has disconnected."""
        state = self._query_by_id.pop(query_id, None)
        if state is None:
            return []
        self._pool_states.finish(state, self._clock.monotonic())
        return [events.CountRefusal(data.Refusal.CALLER_GONE), *self._cancel_pending(state, True)]

    def _cancel_pending(
        self, state: query.QueryState, is_abandoned: bool = False
    ) -> list[events.Command]:
        """Returns the commands that cancel a query at the owners with pending sub-requests."""
        cancel = messages.Cancel(state.spec.query_id, is_abandoned)
        return [events.SendMessage(owner, cancel) for owner in state.owners_at_work()]
