"""Plan of a soak: the kind, target, start and length of each fault."""

import enum
import random

import msgspec

# Mean time between the starts of two faults, or of two routine operations. They last longer on
# average, so they overlap.
MEAN_GAP_SECONDS = 0.5
# Length of a series of faults, and of the period of routine operations that follows it: many rules
# are checked only for requests that follow some seconds without a disturbance.
SERIES_MIN_SECONDS = 4.0
SERIES_MAX_SECONDS = 8.0
ROUTINE_SECONDS = 13.0
FAULT_MIN_SECONDS = 0.3
FAULT_MAX_SECONDS = 2.0
# Time without new faults at the start and the end of a run.
QUIET_START_SECONDS = 2.0
QUIET_END_SECONDS = 6.0
# Share of the runs that end with SIGKILL to all instances.
FINAL_KILL_SHARE = 0.5
# Length of the store fault that starts together with that SIGKILL.
FINAL_STORE_SECONDS = 2.5


class FaultKind(enum.Enum):
    """Kinds of faults and of routine operations.

    Attributes:
        KILL: An instance is killed by SIGKILL and restarted at the end.
        STOP: An instance is suspended by SIGSTOP and resumed at the end.
        RESTART: An instance is stopped gracefully by SIGTERM and restarted.
        RELOAD: An instance receives SIGHUP.
        KILL_ALL: As ``KILL``, for all instances at the same time.
        LINK: Fault of the streams that one instance opens to another.
        STORE: Fault of the store; ``forget`` discards its history.
        STORE_LINK: Fault of an instance's connections to the store.
        SERVER: Fault of the replies of a backend server.
        SLOW: A backend server takes longer for each request.
        SERVER_LINK: Fault of the connections to a backend server.
        DRAIN: A backend server is registered as draining, and as ready at the end.
        EDIT: A new version of the configuration is published.
        RESHARD: As ``EDIT``, with another set of shards.
        STORE_RETURN: The store is away and comes back from an older copy; see
            ``return_plan``.
    """

    KILL = "kill"
    STOP = "stop"
    RESTART = "restart"
    RELOAD = "reload"
    KILL_ALL = "kill_all"
    LINK = "link"
    STORE = "store"
    STORE_LINK = "store_link"
    SERVER = "server"
    SLOW = "slow"
    SERVER_LINK = "server_link"
    DRAIN = "drain"
    EDIT = "edit"
    RESHARD = "reshard"
    STORE_RETURN = "store_return"


ROUTINE_KINDS = (
    FaultKind.DRAIN,
    FaultKind.EDIT,
    FaultKind.RESHARD,
    FaultKind.SLOW,
    FaultKind.RESTART,
)
VARIANTS_BY_KIND = {
    FaultKind.LINK: ("delay", "one_way", "silence", "reset"),
    FaultKind.STORE: ("refuse", "reset", "silent", "slow", "forget"),
    FaultKind.STORE_LINK: ("delay", "one_way", "silence", "reset"),
    FaultKind.SERVER: ("error", "lost", "shed", "foreign_id", "truncated", "no_proof"),
    FaultKind.SERVER_LINK: ("delay", "one_way", "silence", "reset"),
    FaultKind.STORE_RETURN: ("refuse", "reset"),
}
# Relative frequency of each kind.
WEIGHT_BY_KIND = {
    FaultKind.KILL: 2,
    FaultKind.STOP: 3,
    FaultKind.RESTART: 2,
    FaultKind.RELOAD: 1,
    FaultKind.KILL_ALL: 0.3,
    FaultKind.LINK: 4,
    FaultKind.STORE: 3,
    FaultKind.STORE_LINK: 2,
    FaultKind.SERVER: 4,
    FaultKind.SLOW: 3,
    FaultKind.SERVER_LINK: 2,
    FaultKind.DRAIN: 2,
    FaultKind.EDIT: 3,
    FaultKind.RESHARD: 1,
}


class Fault(msgspec.Struct, frozen=True):
    """A fault or a routine operation.

    Attributes:
        at: Start, in seconds from the start of the load.
        kind: Kind of the fault.
        how: Variant, one of ``VARIANTS_BY_KIND``; empty if the kind has only one. The item of
            a drained server is removed instead if it is ``removed``.
        instance: Number of the affected instance, from 1.
        other: Number of the instance at the other end of a link.
        place: Number from which the affected server is derived.
        for_s: Length in seconds; a drain lasts longer by ``proxied_fleet.DRAIN_LIMIT_SECONDS``.
        copy_age_s: Age of the copy from which the store comes back, in seconds.
    """

    at: float
    kind: FaultKind
    how: str
    instance: int
    other: int
    place: int
    for_s: float
    copy_age_s: float = 0.0


class Plan(msgspec.Struct, frozen=True):
    """All faults of a run, in order of their start.

    Attributes:
        seed: Seed that the plan is generated from.
        seconds: Length of the load in seconds.
        instances: Number of instances.
        cell_size: Number of instances in a cell.
        faults: The faults.
    """

    seed: int
    seconds: float
    instances: int
    cell_size: int
    faults: tuple[Fault, ...]

    def describe(self) -> str:
        """Returns the plan, one line for each fault."""
        lines = [
            f"seed {self.seed}: {self.instances} instances, cells of {self.cell_size},"
            f" {self.seconds:g} s, {len(self.faults)} faults"
        ]
        lines += [
            f"  {fault.at:6.2f} s  {fault.kind.value} {fault.how} instance={fault.instance}"
            f" other={fault.other} place={fault.place} for {fault.for_s:.2f} s"
            + (f" copy of {fault.copy_age_s:.2f} s before" if fault.copy_age_s else "")
            for fault in self.faults
        ]
        return "\n".join(lines)


def make_plan(seed: int, seconds: float, instances: int) -> Plan:
    """Returns the plan generated from a seed; equal arguments give equal plans."""
    rng = random.Random(f"soak/{seed}")
    cell_size = rng.choice((1, 2, 3))
    faults: list[Fault] = []
    start_at = QUIET_START_SECONDS
    faults_end_at = seconds - QUIET_END_SECONDS
    while start_at < faults_end_at:
        series_ends_at = min(
            faults_end_at, start_at + rng.uniform(SERIES_MIN_SECONDS, SERIES_MAX_SECONDS)
        )
        while (start_at := start_at + rng.expovariate(1.0 / MEAN_GAP_SECONDS)) < series_ends_at:
            faults.append(_make_fault(rng, start_at, instances, tuple(WEIGHT_BY_KIND)))
        routine_ends_at = min(faults_end_at, start_at + ROUTINE_SECONDS)
        while (start_at := start_at + rng.expovariate(1.0 / MEAN_GAP_SECONDS)) < routine_ends_at:
            faults.append(_make_fault(rng, start_at, instances, ROUTINE_KINDS))
    if rng.random() < FINAL_KILL_SHARE:
        start_at = max(start_at, faults_end_at)
        how = rng.choice(VARIANTS_BY_KIND[FaultKind.STORE])
        faults.append(Fault(start_at, FaultKind.STORE, how, 1, 2, 0, FINAL_STORE_SECONDS))
        faults.append(Fault(start_at, FaultKind.KILL_ALL, "", 1, 2, 0, FAULT_MIN_SECONDS))
    return Plan(seed, seconds, instances, cell_size, tuple(faults))


def _make_fault(
    rng: random.Random, start_at: float, instances: int, kinds: tuple[FaultKind, ...]
) -> Fault:
    kind = rng.choices(kinds, weights=[WEIGHT_BY_KIND[kind] for kind in kinds])[0]
    instance, other = rng.sample(range(1, instances + 1), 2)
    return Fault(
        at=round(start_at, 2),
        kind=kind,
        how=rng.choice(VARIANTS_BY_KIND.get(kind, ("",))),
        instance=instance,
        other=other,
        place=rng.randrange(1000),
        for_s=round(rng.uniform(FAULT_MIN_SECONDS, FAULT_MAX_SECONDS), 2),
    )
