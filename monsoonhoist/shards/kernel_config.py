"""Options of the kernels of an instance, and policies of its owner."""

import dataclasses
from collections.abc import Callable

from monsoonhoist.core import scheduling
from monsoonhoist.overload import budget, cold_quota
from monsoonhoist.policy import balance, hedge, order, ownership
from monsoonhoist.shards import slow_start, subrequest


@dataclasses.dataclass(frozen=True)
class KernelOptions:
    """Options of the entry and the owner of an instance.

    Attributes:
        extra_calls: Size of the budgets of extra calls, which the entry applies.
        leaving_grace_seconds: How long the owner may still call a server that the table marks as
            leaving or no longer lists if no other server is available.
        finish_latencies: Grace period for calls whose results are no longer needed: the owner
            cancels such a call once this time has passed since its start. A multiple of the
            route's median latency; 0 for no grace period.
        make_pace: Creates the pace of a server that starts or recovers; None if servers do not
            start slowly.
        cold: Requests that cold servers can serve, where their service states a rate.
        load_scheduling: Mechanisms that schedule work under load.
        foreign_body_bytes_max: Most bytes of bodies that the owner holds for queries of other
            instances; it refuses sub-requests with longer ones. 0 for no limit.
    """

    extra_calls: budget.BudgetOptions = budget.BudgetOptions()
    leaving_grace_seconds: float = 0.0
    finish_latencies: float = 0.0
    make_pace: slow_start.MakePace | None = None
    cold: cold_quota.ColdOptions = cold_quota.ColdOptions()
    load_scheduling: scheduling.Options = scheduling.DEFAULT_OPTIONS
    foreign_body_bytes_max: int = 0


@dataclasses.dataclass(frozen=True)
class OwnerPolicies:
    """Policies of an owner.

    Attributes:
        ownership: Chooses the owners of shards and the share of the servers' limits.
        balance: Chooses among the servers that may be called.
        make_order: Creates the queue of a shard.
        make_hedge: Creates the hedge policy of a route.
    """

    ownership: ownership.Ownership
    balance: balance.Balance
    make_order: Callable[[], order.Order[subrequest.SubRequest]]
    make_hedge: Callable[[], hedge.Hedge]
