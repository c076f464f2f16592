"""Selection of the owner instance that receives a sub-request."""

from collections.abc import Iterable

from monsoonhoist.core import data, placement
from monsoonhoist.policy import ownership


class OwnerSelector:
    """Selects the owners of shards for one entry.

    An instance that was marked as silent is avoided until it sends a message or its stream ends.

    Args:
        policy: Policy that assigns owners and stand-bys to shards.
        instance: This instance.
    """

    def __init__(self, policy: ownership.Ownership, instance: data.InstanceId):
        self._policy = policy
        self._instances: tuple[data.InstanceId, ...] = (instance,)
        self._silent_instances: set[data.InstanceId] = set()

    def set_instances(
        self,
        instances: tuple[data.InstanceId, ...],
        topology: placement.Topology,
    ) -> None:
        """Sets the instances that share the calls to backend servers, and where they are."""
        self._instances = instances
        self._policy.set_topology(topology)
        self._silent_instances.intersection_update(instances)

    def mark_responsive(self, instance: data.InstanceId) -> None:
        """Removes the silent mark, after a message from an instance or the end of its stream."""
        self._silent_instances.discard(instance)

    def mark_silent(self, instances: Iterable[data.InstanceId]) -> None:
        """Excludes instances that sent no message within the timeout."""
        self._silent_instances.update(instances)

    def choose(
        self,
        pool: data.PoolId,
        service: data.ServiceId,
        lost_instance: data.InstanceId | None = None,
    ) -> data.InstanceId:
        """Returns the first of a shard's owner and stand-bys that is neither lost nor silent.

        If there is none, the last of them is returned.

        Args:
            pool: Pool of the shard.
            service: The shard.
            lost_instance: An owner to avoid because its stream has ended.
        """
        owners = self._policy.owners(pool, service, self._instances)
        for owner in owners:
            if owner != lost_instance and owner not in self._silent_instances:
                return owner
        return owners[-1]

    def has_untried_owner(
        self, pool: data.PoolId, service: data.ServiceId, tried: Iterable[data.InstanceId]
    ) -> bool:
        """Returns whether a shard's owner or a stand-by is neither silent nor in ``tried``."""
        owners = self._policy.owners(pool, service, self._instances)
        return not self._silent_instances.union(tried).issuperset(owners)
