"""Which shards of a query are given to stand-bys, because their owners fall silent."""

from monsoonhoist.core import allowances, data, events, messages, owner_selector, query


class OwnerFailover:
    """Gives up owners that are silent.

    Args:
        myself: This instance.
        chosen: Choice of owners.
        allowed: Calls that owners may make.
    """

    def __init__(
        self,
        myself: data.InstanceId,
        selector: owner_selector.OwnerSelector,
        call_allowances: allowances.Allowances,
    ):
        self._myself = myself
        self._owner_selector = selector
        self._allowances = call_allowances

    def fail_silent_owners(
        self, state: query.QueryState, commands: list[events.Command]
    ) -> tuple[data.ServiceId, ...]:
        """Returns the shards of silent owners, which are told to drop the work.

        A shard is left to its owner where the route's attempts are used up, since that owner
        may be at work although it is not heard.
        """
        silent = tuple(
            service
            for service in state.services
            if state.is_owner_silent(service) and self._try_reserve_stand_by(state, service)
        )
        services_by_owner: dict[data.InstanceId, list[data.ServiceId]] = {}
        for service in silent:
            state.shard_by_service[service].stand_by_used = True
            commands.append(events.CountRetry(data.RetryReason.OWNER_SILENT))
            for owner in state.pending_owners(service):
                services_by_owner.setdefault(owner, []).append(service)
        for owner, services in services_by_owner.items():
            cancel = messages.Cancel(state.spec.query_id, True, tuple(services))
            commands.append(events.SendMessage(owner, cancel))
        self._owner_selector.mark_silent(services_by_owner)
        return silent

    def check_owners(
        self, state: query.QueryState, now: float, commands: list[events.Command]
    ) -> bool:
        """Asks the owners of open shards that were heard from whether they still work.

        An owner may have been stopped after it took the work.

        Returns:
            Whether any was asked; the query's patience then ends when they are due.
        """
        heard = state.pop_responsive_owners(self._myself)
        if not heard:
            return False
        check = messages.BatchCheck(state.spec.query_id)
        commands.extend(events.SendMessage(owner, check) for owner in heard)
        state.owner_timeout.expires_at = now + state.owner_timeout.check_timeout_seconds
        state.owner_timeout.check_timeout_seconds *= 2.0
        return True

    def _try_reserve_stand_by(self, state: query.QueryState, service: data.ServiceId) -> bool:
        """Returns whether another owner may be asked as well, which takes an attempt."""
        if state.shard_by_service[service].stand_by_used:
            return False
        if not self._owner_selector.has_untried_owner(
            state.pool.pool_id, service, state.pending_owners(service)
        ):
            return False
        return self._allowances.try_reserve_attempt(state, service)
