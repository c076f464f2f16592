"""Kernel of an instance: both roles over one set of policies."""

import dataclasses

from monsoonhoist.core import clock, data, entry, owner, owner_config
from monsoonhoist.policy import ownership, registry


@dataclasses.dataclass(frozen=True)
class PolicyNames:
    """Names of the policies to use, one for each kind."""

    ownership: str = "rendezvous"
    balance: str = "least-loaded"
    hedge: str = "quantile"
    admission: str = "window"
    order: str = "ranked"


@dataclasses.dataclass(frozen=True)
class Kernel:
    """Decisions of one instance.

    Attributes:
        entry: Decisions on callers' queries.
        owner: Decisions on backend servers.
        ownership: Chooses the instances that call the servers of a shard.
    """

    entry: entry.EntryKernel
    owner: owner.OwnerKernel
    ownership: ownership.Ownership


def make_kernel(
    instance: data.InstanceId,
    zone: data.ZoneId,
    time_source: clock.Clock,
    names: PolicyNames,
    options: owner_config.OwnerOptions | None = None,
) -> Kernel:
    """Returns a kernel with the named policies.

    Raises:
        UnknownPolicyError: If no plug-in has registered a name.
    """
    options = options or owner_config.OwnerOptions()
    registry.load()
    owner_policy = registry.find(registry.Kind.OWNERSHIP, names.ownership)(instance)
    policies = owner_config.Policies(
        ownership=owner_policy,
        balance=registry.find(registry.Kind.BALANCE, names.balance)(),
        make_order=registry.find(registry.Kind.ORDER, names.order),
        make_hedge=registry.find(registry.Kind.HEDGE, names.hedge),
    )
    admission_class = registry.find(registry.Kind.ADMISSION, names.admission)
    return Kernel(
        entry=entry.EntryKernel(
            instance, time_source, owner_policy, admission_class, options.extra_calls
        ),
        owner=owner.OwnerKernel(instance, zone, time_source, policies, options),
        ownership=owner_policy,
    )
