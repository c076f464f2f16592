"""Permission for extra calls, which an entry grants to the owners of its queries.

A route's limit on calls, ``Route.attempts``, applies to each shard of a query, whichever instances
make the calls. The budget of extra calls applies to all queries of all instances together. An owner
that receives a sub-request may make one call without permission; only the entry, which knows all
owners of the query, allows more.
"""

from collections.abc import Callable, Container

import msgspec

from monsoonhoist.core import clock, data
from monsoonhoist.overload import budget
from monsoonhoist.protocol import events, messages
from monsoonhoist.queries import query


class Allowances:
    """Allows extra calls within the call limits of routes and the budgets of shards.

    Args:
        options: Size of the budgets.
        time_source: The clock.
    """

    def __init__(self, options: budget.BudgetOptions, time_source: clock.Clock):
        self._clock = time_source
        self._budget = budget.ShardBudgets(options)

    def set_share(self, share: float) -> None:
        """Sets the share of the budgets that this instance may use, from 0 to 1."""
        self._budget.set_share(share, self._clock.monotonic())

    def prune(self, services: Container[data.ServiceId]) -> None:
        """Removes the unused budgets of services that are not among those given."""
        self._budget.prune(services, self._clock.monotonic())

    def register_query(self, state: query.QueryState) -> None:
        """Adds the tokens of a query's first calls, and sets the share that owners may hedge."""
        self._budget.earn(state.route, state.services, self._clock.monotonic())
        share = self._budget.hedge_share(state.route, state.services[0])
        state.spec = msgspec.structs.replace(state.spec, hedge_budget=share)

    def try_reserve_sub_request(self, state: query.QueryState, service: data.ServiceId) -> bool:
        """Returns whether another sub-request may be sent for a shard; spends a token if so.

        No token is spent if no sub-request has been sent for the shard.
        """
        shard = state.shard_by_service[service]
        if not shard.grant_by_attempt:
            return True
        return self._has_calls_left(state, shard) and self._spend(state, service, False)

    def decide(
        self,
        state: query.QueryState,
        wanted: messages.CallsWanted,
        emit: Callable[[events.Command], None],
    ) -> messages.CallsAllowed:
        """Returns the reply to an owner that requests more calls.

        Args:
            state: The query.
            wanted: The owner's request.
            emit: Receives the commands that count calls that were not allowed.
        """
        allowances: list[messages.Allowance] = []
        for request in wanted.requests:
            shard = state.shard_by_service.get(request.service)
            grant = shard.grant_by_attempt.get(request.attempt) if shard is not None else None
            if grant is None:
                allowances.append(
                    messages.Allowance(request.service, request.attempt, request.allowed)
                )
                continue
            # A duplicate of a granted request gets the same reply and costs nothing.
            if request.allowed >= grant.allowed and request.attempt in shard.pending_by_attempt:
                grant.unused = max(grant.unused, request.unused)
                exceeded = self._check_limits(state, shard, request)
                grant.allowed += exceeded is None
                if exceeded is not None:
                    emit(events.CountCallNotAllowed(state.spec.query_id, request.service, exceeded))
            allowance = messages.Allowance(request.service, request.attempt, grant.allowed)
            allowances.append(allowance)
        return messages.CallsAllowed(wanted.query_id, tuple(allowances))

    def _check_limits(
        self, state: query.QueryState, shard: query.ShardProgress, request: messages.CallRequest
    ) -> data.Bound | None:
        """Returns the limit that one more call would exceed, or None; may spend a token."""
        if not self._has_calls_left(state, shard):
            return data.Bound.ATTEMPTS
        is_refused = request.reason is data.RetryReason.REFUSED
        if is_refused and not self._budget.refusals_cost:
            return None
        is_hedge = request.reason is data.RetryReason.HEDGE
        return None if self._spend(state, request.service, is_hedge) else data.Bound.BUDGET

    def _spend(self, state: query.QueryState, service: data.ServiceId, is_hedge: bool) -> bool:
        now = self._clock.monotonic()
        return self._budget.try_spend(service, state.spec.query_id, is_hedge, now)

    @staticmethod
    def _has_calls_left(state: query.QueryState, shard: query.ShardProgress) -> bool:
        return shard.calls_allowed() < state.route.attempts
