"""Policies that choose the instance that calls a shard's backend servers."""

import abc
from collections.abc import Sequence

from monsoonhoist.core import data, hashing, limits
from monsoonhoist.policy import registry

# Share of a server's connections that one owner uses, so that two instances that both
# believe themselves the owner stay within the limit together.
OWNER_CONNECTION_SHARE = 0.5
# An owner and two stand-bys, so that two instances of a cell may be silent at once.
OWNERS_MAX = 3


class Ownership(abc.ABC):
    """Chooses the instances that may call the servers of a shard."""

    @abc.abstractmethod
    def owners(
        self, pool: data.PoolId, service: data.ServiceId, instances: Sequence[data.InstanceId]
    ) -> tuple[data.InstanceId, ...]:
        """Returns the owner first, then its stand-bys.

        Args:
            pool: Pool of the shard.
            service: The shard.
            instances: Live instances.
        """

    @abc.abstractmethod
    def limit_share(self, instance_count: int) -> limits.LimitShare:
        """Returns the shares of the servers' limits that one instance may use.

        Args:
            instance_count: Number of instances, or of cells where there are cells.
        """


@registry.register(registry.Kind.OWNERSHIP, "rendezvous")
class RendezvousOwnership(Ownership):
    """Gives each shard to the instance with the highest weight.

    Rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", IEEE/ACM Transactions on Networking 6(1), 1998. A pool's owners are first
    narrowed to the ``cell_size`` instances that weigh most for the pool, so that a query
    to the whole pool reaches at most that many instances.
    """

    cell_size = 64

    def __init__(self, myself: data.InstanceId):
        self._cell_by_pool: dict[data.PoolId, Cell] = {}
        self._instances: tuple[data.InstanceId, ...] = ()

    def owners(
        self, pool: data.PoolId, service: data.ServiceId, instances: Sequence[data.InstanceId]
    ) -> tuple[data.InstanceId, ...]:
        """Returns the instances that weigh most within the pool's cell."""
        if instances is not self._instances:
            self._update_instances(tuple(instances))
        cell = self._cell_by_pool.get(pool)
        if cell is None:
            cell = Cell(tuple(_sort_by_weight(pool, self._instances)[: self.cell_size]))
            self._cell_by_pool[pool] = cell
        return cell.owners(pool, service)

    def limit_share(self, instance_count: int) -> limits.LimitShare:
        """Returns all slots: all load of a server passes through its owner."""
        return limits.LimitShare(1.0, OWNER_CONNECTION_SHARE)

    def _update_instances(self, instances: tuple[data.InstanceId, ...]) -> None:
        """Forgets the cells that a change of instances concerns."""
        added = set(instances).difference(self._instances)
        removed = set(self._instances).difference(instances)
        self._instances = instances
        for pool, cell in list(self._cell_by_pool.items()):
            lost = bool(removed.intersection(cell.members))
            if lost or self._would_join(pool, cell, added):
                del self._cell_by_pool[pool]

    def _would_join(self, pool: data.PoolId, cell: "Cell", added: set[data.InstanceId]) -> bool:
        """Returns whether any added instance belongs to the pool's cell."""
        if len(cell.members) < self.cell_size:
            return bool(added)
        lightest = _weight(pool, cell.members[-1])
        return any(_weight(pool, instance) > lightest for instance in added)


class Cell:
    """Instances that own one pool's shards.

    Attributes:
        members: The instances by falling weight for the pool.
    """

    def __init__(self, members: tuple[data.InstanceId, ...]):
        self.members = members
        self._owners_by_service: dict[data.ServiceId, tuple[data.InstanceId, ...]] = {}

    def owners(self, pool: data.PoolId, service: data.ServiceId) -> tuple[data.InstanceId, ...]:
        """Returns the owner and the stand-bys of a shard."""
        found = self._owners_by_service.get(service)
        if found is None:
            found = tuple(_sort_by_weight(f"{pool}/{service}", self.members)[:OWNERS_MAX])
            self._owners_by_service[service] = found
        return found


@registry.register(registry.Kind.OWNERSHIP, "direct")
class DirectOwnership(Ownership):
    """Lets each instance call every server within an equal share of its limits."""

    def __init__(self, myself: data.InstanceId):
        self._myself = myself

    def owners(
        self, pool: data.PoolId, service: data.ServiceId, instances: Sequence[data.InstanceId]
    ) -> tuple[data.InstanceId, ...]:
        """Returns the instance itself, without a stand-by."""
        return (self._myself,)

    def limit_share(self, instance_count: int) -> limits.LimitShare:
        """Returns one part of as many as there are instances."""
        part = 1.0 / max(1, instance_count)
        return limits.LimitShare(part, OWNER_CONNECTION_SHARE)


@registry.register(registry.Kind.OWNERSHIP, "cell")
class CellOwnership(RendezvousOwnership):
    """Divides the shards among the instances of a cell; each cell calls every server.

    With cells of one instance each entry calls the servers itself. A cell may fill all
    slots of a server, since the servers queue and the others are seldom busy there at the
    same moment, but uses no more than its part of the connections.
    """

    def limit_share(self, instance_count: int) -> limits.LimitShare:
        """Returns all slots, and one part of the connections for each cell."""
        part = 1.0 / max(1, instance_count)
        return limits.LimitShare(1.0, part * limits.USABLE_CONNECTIONS_SHARE)


def _sort_by_weight(name: str, instances: Sequence[data.InstanceId]) -> list[data.InstanceId]:
    """Returns the instances by falling weight for a name."""
    return sorted(instances, key=lambda instance: _weight(name, instance), reverse=True)


def _weight(name: str, instance: data.InstanceId) -> tuple[int, str]:
    return (hashing.weight(instance, name), instance)
