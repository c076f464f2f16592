"""Options and policies of an owner."""

import dataclasses
from collections.abc import Callable

from monsoonhoist.core import budget, subrequest
from monsoonhoist.policy import balance, hedge, order, ownership


@dataclasses.dataclass(frozen=True)
class OwnerOptions:
    """Options of an owner.

    Attributes:
        extra_calls: Size of the budgets of extra calls, which the entry of the instance applies.
        leaving_grace_seconds: How long a server that the table marks as leaving or no longer lists
            may still be called if no other server is available.
        finish_latencies: Time from the start of a call after which it is cancelled if its results
            are no longer needed, as a multiple of the route's median latency; 0 for no grace
            period.
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
