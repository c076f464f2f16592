"""Policies that choose the instances that call the backend servers of a shard."""

import abc
import math
from collections.abc import Mapping, Sequence

from monsoonhoist.core import data, hashing, limits, placement
from monsoonhoist.policy import registry

# Share of a server's connections that one owner uses. If the views of two instances differ and both
# act as the owner, they still stay within the limit together.
OWNER_CONNECTION_SHARE = 0.5
# One owner and two stand-bys, so that a shard still has an owner if two of them are silent.
OWNERS_MAX = 3
# Number of distinct hash values.
HASH_RANGE = 2**64


class Ownership(abc.ABC):
    """Chooses the instances that may call the servers of a shard."""

    @abc.abstractmethod
    def owners(
        self, pool: data.PoolId, service: data.ServiceId, instances: Sequence[data.InstanceId]
    ) -> tuple[data.InstanceId, ...]:
        """Returns the owner of a shard, followed by its stand-bys.

        Args:
            pool: Pool of the shard.
            service: The shard.
            instances: Live instances.
        """

    @abc.abstractmethod
    def set_topology(self, topology: placement.Topology) -> None:
        """Sets where instances and servers are."""

    @abc.abstractmethod
    def limit_share(self, instance_count: int) -> limits.LimitShare:
        """Returns the shares of the servers' limits that one instance may use.

        Args:
            instance_count: Number of instances, or number of cells in a deployment with cells.
        """


@registry.register(registry.Kind.OWNERSHIP, "rendezvous")
class RendezvousOwnership(Ownership):
    """Assigns each shard to the instance with the highest weight, in proportion to capacities.

    Rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", IEEE/ACM Transactions on Networking 6(1), 1998. The owners of a pool are first
    limited to the ``pool_owners_max`` instances with the highest weights for the pool, so that a
    query to the whole pool reaches at most that many instances.
    """

    # Most instances that own shards of one pool.
    pool_owners_max = 64

    def __init__(self, instance: data.InstanceId):
        self._owners_by_pool: dict[data.PoolId, PoolOwners] = {}
        self._instances: tuple[data.InstanceId, ...] = ()
        self._topology = placement.NO_TOPOLOGY

    def set_topology(self, topology: placement.Topology) -> None:
        """Sets the capacities by which shards are divided."""
        if topology != self._topology:
            self._topology = topology
            self._owners_by_pool.clear()

    def owners(
        self, pool: data.PoolId, service: data.ServiceId, instances: Sequence[data.InstanceId]
    ) -> tuple[data.InstanceId, ...]:
        """Returns those of the pool's owners that have the highest weights for the shard."""
        if instances is not self._instances:
            self._update_instances(tuple(instances))
        pool_owners = self._owners_by_pool.get(pool)
        if pool_owners is None:
            capacities = self._topology.capacity_by_instance
            ordered = _sort_by_weight(pool, self._instances, capacities)
            pool_owners = PoolOwners(tuple(ordered[: self.pool_owners_max]), capacities)
            self._owners_by_pool[pool] = pool_owners
        return pool_owners.owners(pool, service)

    def limit_share(self, instance_count: int) -> limits.LimitShare:
        """Returns all slots, because all calls to a server are made by its owner."""
        return limits.LimitShare(1.0, OWNER_CONNECTION_SHARE)

    def _update_instances(self, instances: tuple[data.InstanceId, ...]) -> None:
        """Discards the cached owners of each pool whose owners change with the new instances."""
        added = set(instances).difference(self._instances)
        removed = set(self._instances).difference(instances)
        self._instances = instances
        for pool, pool_owners in list(self._owners_by_pool.items()):
            has_lost_member = bool(removed.intersection(pool_owners.members))
            if has_lost_member or self._would_join(pool, pool_owners, added):
                del self._owners_by_pool[pool]

    def _would_join(
        self, pool: data.PoolId, pool_owners: "PoolOwners", added: set[data.InstanceId]
    ) -> bool:
        """Returns whether any added instance would be one of the pool's owners."""
        if len(pool_owners.members) < self.pool_owners_max:
            return bool(added)
        capacities = self._topology.capacity_by_instance
        lowest_weight = _weight(pool, pool_owners.members[-1], capacities)
        return any(_weight(pool, instance, capacities) > lowest_weight for instance in added)


class PoolOwners:
    """Instances among which the shards of one pool are divided.

    Args:
        members: The instances, in descending order of their weight for the pool.
        capacity_by_instance: Capacities of the instances; 1 for those that are not contained.

    Attributes:
        members: The instances.
    """

    def __init__(
        self,
        members: tuple[data.InstanceId, ...],
        capacity_by_instance: Mapping[data.InstanceId, float],
    ):
        self.members = members
        self._capacity_by_instance = capacity_by_instance
        self._owners_by_service: dict[data.ServiceId, tuple[data.InstanceId, ...]] = {}

    def owners(self, pool: data.PoolId, service: data.ServiceId) -> tuple[data.InstanceId, ...]:
        """Returns the owner of a shard, followed by its stand-bys."""
        owners = self._owners_by_service.get(service)
        if owners is None:
            name = f"{pool}/{service}"
            ordered = _sort_by_weight(name, self.members, self._capacity_by_instance)
            owners = tuple(ordered[:OWNERS_MAX])
            self._owners_by_service[service] = owners
        return owners


@registry.register(registry.Kind.OWNERSHIP, "direct")
class DirectOwnership(Ownership):
    """Lets each instance call every server, within an equal part of the server's slots."""

    def __init__(self, instance: data.InstanceId):
        self._instance = instance

    def set_topology(self, topology: placement.Topology) -> None:
        """Does nothing, since each instance calls every server."""

    def owners(
        self, pool: data.PoolId, service: data.ServiceId, instances: Sequence[data.InstanceId]
    ) -> tuple[data.InstanceId, ...]:
        """Returns this instance, without a stand-by."""
        return (self._instance,)

    def limit_share(self, instance_count: int) -> limits.LimitShare:
        """Returns an equal part of the slots, and an owner's share of the connections."""
        part = 1.0 / max(1, instance_count)
        return limits.LimitShare(part, OWNER_CONNECTION_SHARE)


@registry.register(registry.Kind.OWNERSHIP, "cell")
class CellOwnership(RendezvousOwnership):
    """Divides the shards among the instances of a cell; each cell calls every server.

    The caller passes the instances of its cell as ``instances``. With cells of one instance, each
    entry calls the servers itself. A cell may use all slots of a server, because servers queue
    calls and the other cells are rarely busy there at the same time, but it uses only its part of
    the connections.
    """

    def limit_share(self, instance_count: int) -> limits.LimitShare:
        """Returns all slots, and an equal part of the usable connections for each cell."""
        part = 1.0 / max(1, instance_count)
        return limits.LimitShare(1.0, part * limits.USABLE_CONNECTIONS_SHARE)


def _sort_by_weight(
    name: str,
    instances: Sequence[data.InstanceId],
    capacity_by_instance: Mapping[data.InstanceId, float],
) -> list[data.InstanceId]:
    """Returns the instances in descending order of their weight for a name."""
    return sorted(
        instances,
        key=lambda instance: _weight(name, instance, capacity_by_instance),
        reverse=True,
    )


def _weight(
    name: str, instance: data.InstanceId, capacity_by_instance: Mapping[data.InstanceId, float]
) -> tuple[float, str]:
    """Returns an instance's weight for a name, in proportion to its capacity.

    Weighted rendezvous hashing: Schindelhauer and Schomaker, "Weighted distributed hash tables",
    SPAA 2005 (the logarithmic method).
    """
    uniform = (hashing.stable_hash(instance, name) + 0.5) / HASH_RANGE
    return (-capacity_by_instance.get(instance, 1.0) / math.log(uniform), instance)
