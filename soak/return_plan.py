"""Plan of the returns of the store from older copies, added to the plan of a soak.

The returns are drawn from a random stream of their own, so that all other faults of a seed are the
same with and without them.
"""

import random
from collections.abc import Iterator

import msgspec

from soak import plan

# Time until the first return, and between the starts of two returns that follow each other at
# length: some seconds after the first one must pass before the rules are checked again.
FIRST_MIN_SECONDS = 6.0
FIRST_MAX_SECONDS = 9.0
GAP_MIN_SECONDS = 8.0
GAP_MAX_SECONDS = 13.0
COPY_AGE_MIN_SECONDS = 0.5
COPY_AGE_MAX_SECONDS = 6.0
# Share of the returns after which the store returns once more, and the longest pause before that.
TWICE_SHARE = 0.35
TWICE_PAUSE_MAX_SECONDS = 2.5
# Shares of the returns during which an instance is cut off from the store, or the replies of the
# store are late, and the time by which that precedes the return.
CUT_SHARE = 0.25
LATE_SHARE = 0.2
LEAD_SECONDS = 0.5
LATE = "late"
REMOVED = "removed"
# One drain out of this number removes the item of the server.
REMOVAL_PERIOD = 4


def add_returns(base: plan.Plan) -> plan.Plan:
    """Returns a plan with returns of the store; some drained servers are removed in it."""
    rng = random.Random(f"soak/{base.seed}/returns")
    faults = [_remove_if_chosen(fault) for fault in base.faults]
    at = rng.uniform(FIRST_MIN_SECONDS, FIRST_MAX_SECONDS)
    while at < base.seconds - plan.QUIET_END_SECONDS:
        faults += _draw_group(rng, at, base.instances)
        at += rng.uniform(GAP_MIN_SECONDS, GAP_MAX_SECONDS)
    return msgspec.structs.replace(base, faults=tuple(sorted(faults, key=lambda fault: fault.at)))


def _remove_if_chosen(fault: plan.Fault) -> plan.Fault:
    if fault.kind is plan.FaultKind.DRAIN and fault.place % REMOVAL_PERIOD == 1:
        return msgspec.structs.replace(fault, how=REMOVED)
    return fault


def _draw_group(rng: random.Random, at: float, instances: int) -> Iterator[plan.Fault]:
    """Yields a return, perhaps a second one, and the faults that go with it."""
    first = _draw_return(rng, at)
    yield first
    if rng.random() < TWICE_SHARE:
        yield _draw_return(rng, first.at + first.for_s + rng.uniform(0.0, TWICE_PAUSE_MAX_SECONDS))
    instance = rng.randint(1, instances)
    seconds = round(rng.uniform(LEAD_SECONDS, LEAD_SECONDS + plan.FAULT_MAX_SECONDS), 2)
    start_at = round(at - LEAD_SECONDS, 2)
    if rng.random() < CUT_SHARE:
        how = rng.choice(plan.VARIANTS_BY_KIND[plan.FaultKind.STORE_LINK])
        yield plan.Fault(start_at, plan.FaultKind.STORE_LINK, how, instance, 1, 0, seconds)
    if rng.random() < LATE_SHARE:
        yield plan.Fault(start_at, plan.FaultKind.STORE, LATE, instance, 1, 0, seconds)


def _draw_return(rng: random.Random, at: float) -> plan.Fault:
    return plan.Fault(
        at=round(at, 2),
        kind=plan.FaultKind.STORE_RETURN,
        how=rng.choice(plan.VARIANTS_BY_KIND[plan.FaultKind.STORE_RETURN]),
        instance=1,
        other=1,
        place=rng.randrange(1000),
        for_s=round(rng.uniform(plan.FAULT_MIN_SECONDS, plan.FAULT_MAX_SECONDS), 2),
        copy_age_s=round(rng.uniform(COPY_AGE_MIN_SECONDS, COPY_AGE_MAX_SECONDS), 2),
    )
