"""Calls that owners may have made for a request, as its entry knows them."""

import collections
import dataclasses

from monsoonhoist.core import data


@dataclasses.dataclass
class OwnerCalls:
    """A shard's work at one owner.

    Attributes:
        owner: The owner.
        allowed: Calls that it may have made.
        unused: Number of these that are proved to have run nothing.
    """

    owner: data.InstanceId
    allowed: int = 1
    unused: int = 0


class CallCounts:
    """Work of one request, by shard and number of the entry's attempt.

    Attributes:
        attempts: Calls that the route allows for each shard.
    """

    def __init__(self) -> None:
        self.attempts = 0
        self._calls_by_key: dict[tuple[data.ServiceId, int], OwnerCalls] = {}

    def record_sub_request(
        self, service: data.ServiceId, attempt: int, owner: data.InstanceId
    ) -> None:
        """Takes note that an owner is asked for a shard."""
        self._calls_by_key[service, attempt] = OwnerCalls(owner)

    def record_allowed(self, service: data.ServiceId, attempt: int, allowed: int) -> None:
        """Takes note of the calls that an owner may make in all."""
        work = self._calls_by_key.get((service, attempt))
        if work is not None:
            work.allowed = max(work.allowed, allowed)

    def record_unused(self, service: data.ServiceId, attempt: int, unused: int) -> None:
        """Takes note of calls that are proved to have run nothing."""
        work = self._calls_by_key.get((service, attempt))
        if work is not None:
            work.unused = max(work.unused, unused)

    def record_failed(self, service: data.ServiceId, attempt: int, calls: int) -> None:
        """Takes note of how many calls may have run of an owner that has given up."""
        work = self._calls_by_key.get((service, attempt))
        if work is not None:
            work.unused = max(0, work.allowed - calls)

    def remove_unsent(self, owner: data.InstanceId, attempt: int) -> None:
        """Forgets work that an owner never had."""
        self._calls_by_key = {
            key: work
            for key, work in self._calls_by_key.items()
            if work.owner != owner or key[1] != attempt
        }

    def calls_over_limit(self) -> dict[data.ServiceId, int]:
        """Returns the calls of the shards that may have more than the route allows."""
        calls: collections.Counter[data.ServiceId] = collections.Counter()
        for (service, _), work in self._calls_by_key.items():
            calls[service] += work.allowed - work.unused
        return {service: count for service, count in calls.items() if count > self.attempts}
