"""Choice of the instance that is asked for a shard, among those that can be heard."""

from collections.abc import Iterable

from monsoonhoist.core import data
from monsoonhoist.policy import ownership


class OwnerSelector:
    """The owners of shards, as one entry sees them.

    An instance that was given up as silent is passed over until it is heard from again.

    Args:
        policy: Chooses the owners and stand-bys.
        myself: This instance.
    """

    def __init__(self, policy: ownership.Ownership, myself: data.InstanceId):
        self._policy = policy
        self._instances: tuple[data.InstanceId, ...] = (myself,)
        self._silent_instances: set[data.InstanceId] = set()

    def set_instances(self, instances: tuple[data.InstanceId, ...]) -> None:
        """Takes over the instances that share the calls, this one included."""
        self._instances = instances
        self._silent_instances.intersection_update(instances)

    def mark_responsive(self, instance: data.InstanceId) -> None:
        """Takes note that an instance works, or that its stream has been opened anew."""
        self._silent_instances.discard(instance)

    def mark_silent(self, instances: Iterable[data.InstanceId]) -> None:
        """Takes note of instances that were given up."""
        self._silent_instances.update(instances)

    def choose(
        self,
        pool: data.PoolId,
        service: data.ServiceId,
        lost_instance: data.InstanceId | None = None,
    ) -> data.InstanceId:
        """Returns the first owner of a shard that is neither lost nor silent.

        Args:
            pool: Pool of the shard.
            service: The shard.
            lost_instance: An instance whose stream has ended.
        """
        owners = self._policy.owners(pool, service, self._instances)
        for owner in owners:
            if owner != lost_instance and owner not in self._silent_instances:
                return owner
        return owners[-1]

    def has_untried_owner(
        self, pool: data.PoolId, service: data.ServiceId, tried: Iterable[data.InstanceId]
    ) -> bool:
        """Returns whether an owner of a shard can be heard and has not been asked."""
        owners = self._policy.owners(pool, service, self._instances)
        return not self._silent_instances.union(tried).issuperset(owners)
