"""Failover of a query's sub-requests from silent owners to their stand-bys."""

from monsoonhoist.core import data
from monsoonhoist.protocol import events, messages
from monsoonhoist.queries import allowances, owner_selector, query


class OwnerFailover:
    """Detects owners that send no message and cancels their sub-requests.

    Args:
        instance: This instance.
        selector: Selects the owners and records which are silent.
        call_allowances: Permits the extra sub-requests.
    """

    def __init__(
        self,
        instance: data.InstanceId,
        selector: owner_selector.OwnerSelector,
        call_allowances: allowances.Allowances,
    ):
        self._instance = instance
        self._owner_selector = selector
        self._allowances = call_allowances

    def fail_silent_owners(
        self, state: query.QueryState, commands: list[events.Command]
    ) -> tuple[data.ServiceId, ...]:
        """Marks silent owners, cancels their sub-requests and returns the shards to resend.

        If no stand-by is left or no extra sub-request is allowed, the owner keeps the sub-request,
        because it may be working although no message arrives from it.
        """
        silent_services = tuple(
            service
            for service in state.services
            if state.is_owner_silent(service) and self._try_reserve_stand_by(state, service)
        )
        services_by_owner: dict[data.InstanceId, list[data.ServiceId]] = {}
        for service in silent_services:
            state.shard_by_service[service].stand_by_used = True
            commands.append(events.CountRetry(data.RetryReason.OWNER_SILENT))
            for owner in state.pending_owners(service):
                services_by_owner.setdefault(owner, []).append(service)
        for owner, services in services_by_owner.items():
            cancel = messages.Cancel(state.spec.query_id, True, tuple(services))
            commands.append(events.SendMessage(owner, cancel))
        self._owner_selector.mark_silent(services_by_owner)
        return silent_services

    def check_owners(
        self, state: query.QueryState, now: float, commands: list[events.Command]
    ) -> bool:
        """Sends liveness checks to the responsive owners of pending shards.

        An owner may have stopped after it acknowledged the sub-request.

        Returns:
            Whether any check was sent; the owner timeout then expires when the replies are due.
        """
        owners = state.pop_responsive_owners(self._instance)
        if not owners:
            return False
        check = messages.BatchCheck(state.spec.query_id)
        commands.extend(events.SendMessage(owner, check) for owner in owners)
        state.owner_timeout.expires_at = now + state.owner_timeout.check_timeout_seconds
        state.owner_timeout.check_timeout_seconds *= 2.0
        return True

    def _try_reserve_stand_by(self, state: query.QueryState, service: data.ServiceId) -> bool:
        """Returns whether a shard's sub-request may go to a stand-by, and reserves it if so."""
        if state.shard_by_service[service].stand_by_used:
            return False
        if not self._owner_selector.has_untried_owner(
            state.pool.pool_id, service, state.pending_owners(service)
        ):
            return False
        return self._allowances.try_reserve_sub_request(state, service)
