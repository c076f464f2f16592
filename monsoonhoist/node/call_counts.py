"""Number of calls that owners may have made for a request, as known to its entry."""

import collections
import dataclasses

from monsoonhoist.core import data


@dataclasses.dataclass
class OwnerCalls:
    """Calls of one owner for one shard.

    Attributes:
        owner: The owner.
        allowed: Number of calls that the owner was allowed to make.
        unused: Number of these calls that are known not to have run on a server.
    """

    owner: data.InstanceId
    allowed: int = 1
    unused: int = 0


class CallCounts:
    """Calls of the owners for one request, by shard and attempt number.

    The attempt number of a sub-request is its number among those for the shard, from 1.

    Attributes:
        calls_per_shard_max: Number of calls that the route allows for each shard.
    """

    def __init__(self) -> None:
        self.calls_per_shard_max = 0
        self._calls_by_sub_request: dict[tuple[data.ServiceId, int], OwnerCalls] = {}

    def record_sub_request(
        self, service: data.ServiceId, attempt: int, owner: data.InstanceId
    ) -> None:
        """Records that the entry sends a sub-request to an owner, which may then make one call."""
        self._calls_by_sub_request[service, attempt] = OwnerCalls(owner)

    def record_allowed(self, service: data.ServiceId, attempt: int, allowed: int) -> None:
        """Records the total number of calls that an owner may make; it never decreases."""
        owner_calls = self._calls_by_sub_request.get((service, attempt))
        if owner_calls is not None:
            owner_calls.allowed = max(owner_calls.allowed, allowed)

    def record_unused(self, service: data.ServiceId, attempt: int, unused: int) -> None:
        """Records the number of calls known not to have run; it never decreases."""
        owner_calls = self._calls_by_sub_request.get((service, attempt))
        if owner_calls is not None:
            owner_calls.unused = max(owner_calls.unused, unused)

    def record_failed(self, service: data.ServiceId, attempt: int, calls: int) -> None:
        """Records how many calls may have run at an owner that reported a failure."""
        owner_calls = self._calls_by_sub_request.get((service, attempt))
        if owner_calls is not None:
            owner_calls.unused = max(0, owner_calls.allowed - calls)

    def remove_unsent(self, owner: data.InstanceId, attempt: int) -> None:
        """Removes the calls of sub-requests that were never sent to the owner."""
        self._calls_by_sub_request = {
            key: owner_calls
            for key, owner_calls in self._calls_by_sub_request.items()
            if owner_calls.owner != owner or key[1] != attempt
        }

    def calls_over_limit(self) -> dict[data.ServiceId, int]:
        """Returns the shards that may have received too many calls, with their numbers of calls."""
        calls: collections.Counter[data.ServiceId] = collections.Counter()
        for (service, _), owner_calls in self._calls_by_sub_request.items():
            calls[service] += owner_calls.allowed - owner_calls.unused
        return {
            service: count for service, count in calls.items() if count > self.calls_per_shard_max
        }
