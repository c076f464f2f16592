"""Calls that an entry allows the owners of its queries, within attempts and budgets.

The attempts of a route hold for a shard of a query whichever instances make the calls, and the
budget of extra calls for all queries of all instances. An owner that is asked for a shard may
make one call; only the entry, which knows of all owners, allows more.
"""

from collections.abc import Callable

import msgspec

from monsoonhoist.core import budget, clock, data, events, messages, query


class Allowances:
    """What one entry allows.

    Args:
        options: Size of the budgets.
        time_source: The clock.
    """

    def __init__(self, options: budget.BudgetOptions, time_source: clock.Clock):
        self._clock = time_source
        self._budget = budget.ShardBudgets(options)

    def set_share(self, share: float) -> None:
        """Takes over the share of the budgets that this instance may use."""
        self._budget.set_share(share, self._clock.monotonic())

    def register_query(self, state: query.QueryState) -> None:
        """Takes note of a query's first calls, and tells owners how many more to plan for."""
        self._budget.earn(state.route, state.services, self._clock.monotonic())
        share = self._budget.affordable_share(state.route, state.services[0])
        state.spec = msgspec.structs.replace(state.spec, hedge_budget=share)

    def try_reserve_attempt(self, state: query.QueryState, service: data.ServiceId) -> bool:
        """Returns whether another owner may be asked for a shard, which costs a token.

        The token is spent unless no owner has had the work before.
        """
        shard = state.shard_by_service[service]
        if not shard.grant_by_attempt:
            return True
        return self._is_attempt_left(state, shard) and self._spend(state, service, False)

    def decide(
        self,
        state: query.QueryState,
        wanted: messages.CallsWanted,
        note: Callable[[events.Command], None],
    ) -> messages.CallsAllowed:
        """Returns what an owner may do that asks for more calls.

        Args:
            state: The query.
            wanted: What the owner asks for.
            note: Takes a command that counts a call that was not allowed.
        """
        allowances: list[messages.Allowance] = []
        for want in wanted.wants:
            shard = state.shard_by_service.get(want.service)
            grant = shard.grant_by_attempt.get(want.attempt) if shard is not None else None
            if grant is None:
                allowances.append(messages.Allowance(want.service, want.attempt, want.allowed))
                continue
            # A question that comes twice gets the same answer.
            if want.allowed >= grant.allowed and want.attempt in shard.pending_by_attempt:
                grant.unused = max(grant.unused, want.unused)
                refusal = self._refusal(state, shard, want)
                grant.allowed += refusal is None
                if refusal is not None:
                    note(events.CallNotAllowed(state.spec.query_id, want.service, refusal))
            allowance = messages.Allowance(want.service, want.attempt, grant.allowed)
            allowances.append(allowance)
        return messages.CallsAllowed(wanted.query_id, tuple(allowances))

    def _refusal(
        self, state: query.QueryState, shard: query.ShardProgress, want: messages.Want
    ) -> data.Bound | None:
        """Returns the limit that forbids one more call, or None."""
        if not self._is_attempt_left(state, shard):
            return data.Bound.ATTEMPTS
        is_refused = want.reason is data.RetryReason.REFUSED
        if is_refused and not self._budget.refusals_cost:
            return None
        is_hedge = want.reason is data.RetryReason.HEDGE
        return None if self._spend(state, want.service, is_hedge) else data.Bound.BUDGET

    def _spend(self, state: query.QueryState, service: data.ServiceId, is_hedge: bool) -> bool:
        now = self._clock.monotonic()
        return self._budget.try_spend(service, state.spec.query_id, is_hedge, now)

    @staticmethod
    def _is_attempt_left(state: query.QueryState, shard: query.ShardProgress) -> bool:
        return shard.calls_allowed() < state.route.attempts
