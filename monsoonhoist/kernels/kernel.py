"""Kernel of an instance: its entry and its owner, with one set of policies."""

import dataclasses

from monsoonhoist.core import clock, data
from monsoonhoist.policy import ownership, registry
from monsoonhoist.queries import entry
from monsoonhoist.shards import kernel_config, owner


@dataclasses.dataclass(frozen=True)
class PolicyNames:
    """Names of the policies to use.

    The policy that merges results is not among them, because each pool names its own.
    """

    ownership: str = "rendezvous"
    balance: str = "least-loaded"
    hedge: str = "quantile"
    admission: str = "window"
    order: str = "ranked"


@dataclasses.dataclass(frozen=True)
class Kernel:
    """Decision logic of one instance, without I/O.

    Attributes:
        entry: Handles callers' queries.
        owner: Handles calls to backend servers.
        ownership: Policy that chooses the owners of a shard.
    """

    entry: entry.EntryKernel
    owner: owner.OwnerKernel
    ownership: ownership.Ownership


def make_kernel(
    instance: data.InstanceId,
    zone: data.ZoneId,
    time_source: clock.Clock,
    names: PolicyNames,
    options: kernel_config.KernelOptions | None = None,
) -> Kernel:
    """Returns a kernel with the named policies.

    Args:
        instance: This instance.
        zone: Its availability zone.
        time_source: The clock.
        names: Names of the policies.
        options: Options of the entry and the owner; None for the defaults.

    Raises:
        UnknownPolicyError: If a name is not registered.
    """
    options = options or kernel_config.KernelOptions()
    registry.load()
    ownership_policy = registry.find(registry.Kind.OWNERSHIP, names.ownership)(instance)
    policies = kernel_config.OwnerPolicies(
        ownership=ownership_policy,
        balance=registry.find(registry.Kind.BALANCE, names.balance)(),
        make_order=registry.find(
            registry.Kind.ORDER, "goal" if options.load_scheduling.goal_order else names.order
        ),
        make_hedge=registry.find(registry.Kind.HEDGE, names.hedge),
    )
    admission_class = registry.find(registry.Kind.ADMISSION, names.admission)
    return Kernel(
        entry=entry.EntryKernel(
            instance,
            time_source,
            ownership_policy,
            admission_class,
            options.extra_calls,
            options.load_scheduling,
        ),
        owner=owner.OwnerKernel(instance, zone, time_source, policies, options),
        ownership=ownership_policy,
    )
