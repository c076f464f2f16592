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
        leaving_grace_seconds: How long a server that the table takes out of service is
            called where no other is left.
        finish_latencies: How long a call that is not needed any more may go on, from its
            start, in usual latencies; 0 to cancel it at once.
    """

    extra_calls: budget.BudgetOptions = budget.BudgetOptions()
    leaving_grace_seconds: float = 0.0
    finish_latencies: float = 0.0


@dataclasses.dataclass(frozen=True)
class Policies:
    """Policies of an owner.

    Attributes:
        ownership: Chooses owners; gives the share of limits.
        balance: Chooses between servers.
        make_order: Makes the queue of a shard.
        make_hedge: Makes the hedge policy of a route.
    """

    ownership: ownership.Ownership
    balance: balance.Balance
    make_order: Callable[[], order.Order[subrequest.SubRequest]]
    make_hedge: Callable[[], hedge.Hedge]
