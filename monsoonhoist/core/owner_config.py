"""Settings and policies of an owner."""

import dataclasses
from collections.abc import Callable

from monsoonhoist.core import budget, subrequest
from monsoonhoist.policy import balance, hedge, order, ownership


@dataclasses.dataclass(frozen=True)
class OwnerOptions:
    """Settings of an owner.

    Attributes:
        extra_calls: Size of the budgets of extra calls.
        leaving_grace_seconds: How long a server that the table is taking out of service may still
            be called if no other server is available.
        finish_latencies: How long a call whose results are no longer needed may run, from its
            start, in median latencies of its route; 0 to cancel it at once.
    """

    extra_calls: budget.BudgetOptions = budget.BudgetOptions()
    leaving_grace_seconds: float = 0.0
    finish_latencies: float = 0.0


@dataclasses.dataclass(frozen=True)
class Policies:
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
