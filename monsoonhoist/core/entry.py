"""Kernel of the entry: admits queries, fans them out and concludes them."""

import heapq
import math

from monsoonhoist.core import (
    allowances,
    budget,
    clock,
    data,
    events,
    messages,
    outcome,
    owners,
    plan,
    pool_selector,
    query,
    snapshots,
    standby,
)
from monsoonhoist.policy import admission, ownership

RERUNS_MAX = 2
ATTEMPTS_MAX = 4
# Delay of this instance's own work from which it cannot tell that others were silent: their
# messages may have come and not been read.
OWN_LAG_MAX_SECONDS = 0.02
MS_PER_SECOND = 1000

_OVERLOAD_REASONS = (
    data.Refusal.EXPIRED_IN_QUEUE,
    data.Refusal.QUEUE_FULL,
    data.Refusal.SHED,
)


class EntryKernel:
    """Decides on all queries of one entry, without I/O.

    Args:
        myself: This instance.
        time_source: The clock.
        owner_policy: Chooses owners.
        admission_class: Policy class; one object is made for each pool.
        extra_calls: Size of the budgets of extra calls.
    """

    def __init__(
        self,
        myself: data.InstanceId,
        time_source: clock.Clock,
        owner_policy: ownership.Ownership,
        admission_class: type[admission.Admission],
        extra_calls: budget.BudgetOptions,
    ):
        self._myself = myself
        self._clock = time_source
        self._owners = owners.Owners(owner_policy, myself)
        self._allowances = allowances.Allowances(extra_calls, time_source)
        self._stand_bys = standby.StandBys(myself, self._owners, self._allowances)
        self._admission_class = admission_class
        self._tables = data.Tables({}, {})
        self._admission_by_pool: dict[data.PoolId, admission.Admission] = {}
        self._knowledge_by_pool: dict[data.PoolId, snapshots.PoolKnowledge] = {}
        self._query_by_id: dict[data.QueryId, query.QueryState] = {}
        self._splitter = pool_selector.PoolSelector()
        self._wakes: list[tuple[float, data.QueryId]] = []

    @property
    def active_queries(self) -> int:
        """Number of queries in progress."""
        return len(self._query_by_id)

    def next_wake(self) -> float | None:
        """Returns when ``TimeReached`` is due, in monotonic seconds, or None."""
        while self._wakes and self._wakes[0][1] not in self._query_by_id:
            heapq.heappop(self._wakes)
        return self._wakes[0][0] if self._wakes else None

    def handle(self, event: events.EntryEvent) -> list[events.Command]:
        """Takes an event and returns the commands to carry out, in order."""
        match event:
            case events.QueryArrived():
                return self._start(event)
            case events.CallerLeft():
                return self._abandon(event.query_id)
            case events.BatchTaken():
                return self._note_taken(event)
            case events.CallsWanted():
                return self._allow_calls(event)
            case events.ReplyArrived():
                return self._take_reply(event)
            case events.PeerLost():
                return self._lose_peer(event.instance)
            case events.BatchUnsent():
                return self._take_unsent(event)
            case events.ViewChanged():
                return self._change_view(event)
            case events.TimeReached():
                return self._check_times()

    def _change_view(self, event: events.ViewChanged) -> list[events.Command]:
        self._tables = event.tables
        self._owners.change_view(event.cell or event.instances)
        self._allowances.set_share(event.budget_share)
        return []

    def _start(self, event: events.QueryArrived) -> list[events.Command]:
        """Refuses a query or sends its first sub-requests."""
        route = self._tables.route_by_id.get(event.route)
        if route is None:
            detail = f"no route is named {event.route!r}"
            return _refuse(event, data.Refusal.UNKNOWN_ROUTE, detail)
        limit_ms = int(route.deadline.total_seconds() * MS_PER_SECOND)
        question = event.question
        is_out = not 0 <= question.deadline_ms <= limit_ms
        if is_out and not question.is_clamped:
            detail = f"deadline_ms must be from 0 to {limit_ms}"
            return _refuse(event, data.Refusal.DEADLINE_OUT_OF_RANGE, detail)
        pool_id = self._splitter.choose(route)
        pool = self._tables.pool_by_id.get(pool_id)
        if pool is None or not pool.servers_by_service:
            detail = f"the pool {pool_id!r} is not defined"
            return _refuse(event, data.Refusal.POOL_NOT_DEFINED, detail)
        if not any(pool.servers_by_service.values()):
            detail = f"the pool {pool_id!r} has no server"
            return _refuse(event, data.Refusal.NO_SERVER, detail)
        if not self._admission(pool_id).admit(route.rank):
            detail = f"too much {route.rank.value} work for the pool {pool_id!r}"
            return _refuse(event, data.Refusal.OVERLOAD, detail)
        known = self._knowledge(pool_id)
        remaining_ms = event.remaining_ms or limit_ms
        now = self._clock.monotonic()
        state = plan.make_query(event, route, pool, known, remaining_ms, now)
        state.heard_from.add(self._myself)
        self._allowances.register_query(state)
        self._query_by_id[event.query_id] = state
        heapq.heappush(self._wakes, (state.deadline, event.query_id))
        if route.repeatable:
            heapq.heappush(self._wakes, (state.patience.ends, event.query_id))
            heapq.heappush(self._wakes, (state.partial_from, event.query_id))
        commands: list[events.Command] = []
        self._send(state, state.services, commands)
        return commands

    def _send(
        self,
        state: query.QueryState,
        services: tuple[data.ServiceId, ...],
        commands: list[events.Command],
        lost: data.InstanceId | None = None,
    ) -> None:
        """Sends sub-requests, in one batch for each owner.

        Args:
            state: The query.
            services: Shards to ask.
            commands: Receives the commands.
            lost: An owner whose stream has ended.
        """
        services_by_batch: dict[tuple[data.InstanceId, int], list[data.ServiceId]] = {}
        for service in services:
            owner = self._owners.choose(state.pool.pool_id, service, lost)
            attempt = state.open_attempt(service, owner)
            services_by_batch.setdefault((owner, attempt), []).append(service)
        spec = state.spec_at(self._clock.monotonic())
        for (owner, attempt), batch_services in services_by_batch.items():
            batch = messages.SubBatch(
                self._myself, spec, state.snapshot, attempt, tuple(batch_services)
            )
            commands.append(events.SendMessage(owner, batch))

    def _note_taken(self, event: events.BatchTaken) -> list[events.Command]:
        """Takes note that an owner is at work on a query."""
        self._owners.note_heard(event.instance)
        state = self._query_by_id.get(event.query_id)
        if state is not None:
            state.heard_from.add(event.instance)
        return []

    def _allow_calls(self, event: events.CallsWanted) -> list[events.Command]:
        """Answers an owner that asks for more calls."""
        self._owners.note_heard(event.sender)
        state = self._query_by_id.get(event.message.query_id)
        if state is None:
            # The owner has been told, or will hear with the end of its stream.
            return []
        state.heard_from.add(event.sender)
        commands: list[events.Command] = []
        answer = self._allowances.decide(state, event.message, commands.append)
        commands.append(events.SendMessage(event.sender, answer))
        return commands

    def _take_reply(self, event: events.ReplyArrived) -> list[events.Command]:
        """Takes in a reply, asks again where that helps, and concludes if settled."""
        self._owners.note_heard(event.sender)
        state = self._query_by_id.get(event.reply.query_id)
        if state is None:
            return [events.CountLateReply()]
        knowledge = self._knowledge(state.pool.pool_id)
        for part in event.reply.parts:
            knowledge.learn(part.service, part.holdings)
        for failure in event.reply.failures:
            knowledge.learn(failure.service, failure.holdings)
        state.heard_from.add(event.sender)
        if not state.take_reply(event.reply):
            return [events.CountLateReply()]
        commands: list[events.Command] = []
        self._note_pressure(state, event.reply, commands)
        if not state.route.repeatable:
            self._resend_refused(state, commands)
        return commands + self._advance(state)

    def _note_pressure(
        self, state: query.QueryState, reply: messages.SubReply, commands: list[events.Command]
    ) -> None:
        total_ms = max(1.0, state.route.deadline.total_seconds() * MS_PER_SECOND)
        state.pressure = max(state.pressure, reply.queue_delay_ms / total_ms)
        for failure in reply.failures:
            commands.append(events.CountRefusal(failure.reason))
            if failure.reason in _OVERLOAD_REASONS:
                state.pressure = 1.0

    def _resend_refused(self, state: query.QueryState, commands: list[events.Command]) -> None:
        """Sends non-repeatable work again after a proof that it did not run."""
        service = state.services[0]
        shard = state.shard_by_service[service]
        refused = shard.failure is not None and not shard.may_have_run
        is_ended = refused and not shard.pending_by_attempt and shard.attempts < ATTEMPTS_MAX
        if is_ended and self._allowances.try_reserve_attempt(state, service):
            shard.failure = None
            commands.append(events.CountRetry(data.RetryReason.REFUSED))
            self._send(state, (service,), commands)

    def _advance(self, state: query.QueryState) -> list[events.Command]:
        """Concludes a query, or runs it at another snapshot."""
        if state.route.repeatable:
            if state.is_covered() or self._may_end_early(state):
                return self._finish(state)
            if state.is_settled() and (commands := self._rerun(state)):
                return commands
            if not state.can_be_enough():
                return self._finish(state)
        return self._finish(state) if state.is_settled() else []

    def _may_end_early(self, state: query.QueryState) -> bool:
        """Returns whether the route takes what has arrived by now."""
        return self._clock.monotonic() >= state.partial_from and state.is_enough()

    def _rerun(self, state: query.QueryState) -> list[events.Command]:
        """Asks shards again at the snapshot that is now known to cover the most."""
        choice = self._knowledge(state.pool.pool_id).choice(state.services)
        if choice in (data.LATEST_SNAPSHOT, state.snapshot) or state.reruns >= RERUNS_MAX:
            return []
        state.reruns += 1
        state.snapshot = choice
        if state.is_covered():
            return self._finish(state)
        commands: list[events.Command] = []
        lacking = tuple(
            service
            for service in state.lacking()
            if self._allowances.try_reserve_attempt(state, service)
        )
        commands.extend(events.CountRetry(data.RetryReason.SNAPSHOT) for _ in lacking)
        self._send(state, lacking, commands)
        return commands

    def _lose_peer(self, instance: data.InstanceId) -> list[events.Command]:
        """Turns to the remaining owners for what a lost instance was asked."""
        self._owners.note_heard(instance)
        commands: list[events.Command] = []
        for state in list(self._query_by_id.values()):
            lost = state.drop_pending(instance, may_have_run=True)
            self._replace_lost(state, instance, lost, commands)
        return commands

    def _take_unsent(self, event: events.BatchUnsent) -> list[events.Command]:
        """Turns to the remaining owners for a batch that was not sent."""
        commands: list[events.Command] = []
        state = self._query_by_id.get(event.query_id)
        if state is not None:
            lost = state.drop_pending(event.instance, may_have_run=False, attempt=event.attempt)
            self._replace_lost(state, event.instance, lost, commands)
        return commands

    def _replace_lost(
        self,
        state: query.QueryState,
        instance: data.InstanceId,
        lost: tuple[data.ServiceId, ...],
        commands: list[events.Command],
    ) -> None:
        """Asks other owners for the shards whose attempts are lost."""
        if not lost:
            return
        commands.extend(events.CountRefusal(data.Refusal.PEER_LOST) for _ in lost)
        again = tuple(service for service in lost if self._may_ask_again(state, service))
        if again:
            commands.extend(events.CountRetry(data.RetryReason.OWNER_LOST) for _ in again)
            self._send(state, again, commands, lost=instance)
        commands.extend(self._advance(state))

    def _may_ask_again(self, state: query.QueryState, service: data.ServiceId) -> bool:
        """Returns whether a shard may be asked once more after a lost attempt."""
        shard = state.shard_by_service[service]
        done = state.snapshot in shard.part_by_snapshot or bool(shard.pending_by_attempt)
        safe = state.route.repeatable or not shard.may_have_run
        useful = safe and not done and shard.attempts < ATTEMPTS_MAX
        return useful and self._allowances.try_reserve_attempt(state, service)

    def _check_times(self) -> list[events.Command]:
        """Concludes queries at their deadline and asks stand-bys of silent owners."""
        now = self._clock.monotonic()
        commands: list[events.Command] = []
        while self._wakes and self._wakes[0][0] <= now:
            _, query_id = heapq.heappop(self._wakes)
            state = self._query_by_id.get(query_id)
            if state is None:
                continue
            if state.deadline <= now:
                commands.append(events.CountRefusal(data.Refusal.TIMEOUT))
                commands.extend(self._finish(state))
            elif self._may_end_early(state):
                commands.extend(self._finish(state))
            elif state.patience.ends <= now:
                self._end_patience(state, now, commands)
        return commands

    def _end_patience(
        self, state: query.QueryState, now: float, commands: list[events.Command]
    ) -> None:
        """Gives up silent owners, unless this instance itself was late to hear them."""
        if now - state.patience.ends > OWN_LAG_MAX_SECONDS:
            state.patience.ends = now + OWN_LAG_MAX_SECONDS
        else:
            self._ask_stand_bys(state, now, commands)
        if state.patience.ends < state.deadline:
            heapq.heappush(self._wakes, (state.patience.ends, state.spec.query_id))

    def _ask_stand_bys(
        self, state: query.QueryState, now: float, commands: list[events.Command]
    ) -> None:
        """Asks the stand-bys of silent owners, and others whether they still work."""
        silent = self._stand_bys.take_silent(state, commands)
        if silent:
            self._send(state, silent, commands)
        if not self._stand_bys.check_owners(state, now, commands):
            state.patience.ends = math.inf

    def _finish(self, state: query.QueryState) -> list[events.Command]:
        """Answers the caller and cancels what is still pending."""
        del self._query_by_id[state.spec.query_id]
        state.adopt_best_snapshot()
        self._admission(state.pool.pool_id).finish(state.route.rank, state.pressure)
        respond = events.Respond(
            state.spec.query_id, outcome.conclude(state), outcome.evidence(state)
        )
        return [respond, *self._cancel_pending(state)]

    def _abandon(self, query_id: data.QueryId) -> list[events.Command]:
        """Ends a query that nobody waits for."""
        state = self._query_by_id.pop(query_id, None)
        if state is None:
            return []
        self._admission(state.pool.pool_id).finish(state.route.rank, state.pressure)
        return [events.CountRefusal(data.Refusal.CALLER_GONE), *self._cancel_pending(state, True)]

    def _cancel_pending(
        self, state: query.QueryState, is_abandoned: bool = False
    ) -> list[events.Command]:
        """Tells the owners that a query needs no more work."""
        pending = {
            owner: None
            for shard in state.shard_by_service.values()
            for owner in shard.pending_by_attempt.values()
        }
        cancel = messages.Cancel(state.spec.query_id, is_abandoned)
        return [events.SendMessage(owner, cancel) for owner in pending]

    def _admission(self, pool: data.PoolId) -> admission.Admission:
        if pool not in self._admission_by_pool:
            self._admission_by_pool[pool] = self._admission_class()
        return self._admission_by_pool[pool]

    def _knowledge(self, pool: data.PoolId) -> snapshots.PoolKnowledge:
        return self._knowledge_by_pool.setdefault(pool, snapshots.PoolKnowledge())


def _refuse(event: events.QueryArrived, reason: data.Refusal, detail: str) -> list[events.Command]:
    answer = outcome.not_run(event.question.request_id, reason, detail)
    return [events.CountRefusal(reason), events.Respond(event.query_id, answer)]
