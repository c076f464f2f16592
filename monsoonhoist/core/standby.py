"""Which shards of a query are given to stand-bys, because their owners fall silent."""

from monsoonhoist.core import budget, data, events, messages, owners, query

# Fewest attempts of a route for which a silent owner's work is also given to another one.
MULTIPLE_ATTEMPTS = 2
MS_PER_SECOND = 1000


class StandBys:
    """Gives up owners that are silent, within a budget for each route.

    Args:
        myself: This instance.
        chosen: Choice of owners.
    """

    def __init__(self, myself: data.InstanceId, chosen: owners.Owners):
        self._myself = myself
        self._owners = chosen
        self._bucket_by_route: dict[data.RouteId, budget.TokenBucket] = {}

    def note_start(self, state: query.QueryState) -> None:
        """Takes note of a query that has started."""
        state.heard_from.add(self._myself)
        self._bucket(state.route.route_id).earn(state.route.hedge_budget)

    def take_silent(
        self, state: query.QueryState, commands: list[events.Command]
    ) -> tuple[data.ServiceId, ...]:
        """Returns the shards of silent owners, which are told to drop the work.

        A stand-by makes one extra call for each shard, so it costs a query one token of the
        route's budget. A shard is left to its owner where that is known to have used up the
        route's attempts.
        """
        silent = tuple(
            service
            for service in state.services
            if state.is_silent(service) and self._may_ask(state, service)
        )
        if not silent or not self._bucket(state.route.route_id).spend_on_retry():
            return ()
        for service in silent:
            state.shard_by_service[service].stand_by_asked = True
            commands.append(events.CountRetry(data.RetryReason.OWNER_SILENT))
        cancel = messages.Cancel(state.spec.query_id, True)
        asked = {owner: None for service in silent for owner in state.asked(service)}
        commands.extend(events.SendMessage(owner, cancel) for owner in asked)
        self._owners.note_silent(asked)
        return silent

    def check_owners(
        self, state: query.QueryState, now: float, commands: list[events.Command]
    ) -> bool:
        """Asks the owners of open shards that were heard from whether they still work.

        An owner may have been stopped after it took the work.

        Returns:
            Whether any was asked; the query's patience then ends when they are due.
        """
        heard = state.take_heard(self._myself)
        if not heard:
            return False
        lease_ms = int(state.patience.answer_seconds * MS_PER_SECOND)
        check = messages.BatchCheck(state.spec.query_id, lease_ms)
        commands.extend(events.SendMessage(owner, check) for owner in heard)
        state.patience.ends = now + state.patience.answer_seconds
        state.patience.answer_seconds *= 2.0
        return True

    def _may_ask(self, state: query.QueryState, service: data.ServiceId) -> bool:
        """Returns whether another owner may be asked as well, which takes an attempt."""
        shard = state.shard_by_service[service]
        attempts = state.route.attempts
        if shard.stand_by_asked or attempts < MULTIPLE_ATTEMPTS or shard.calls_told >= attempts:
            return False
        return self._owners.has_other(state.pool.pool_id, service, state.asked(service))

    def _bucket(self, route: data.RouteId) -> budget.TokenBucket:
        return self._bucket_by_route.setdefault(route, budget.TokenBucket())
