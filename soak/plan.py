"""Plan of a soak: which fault strikes what, when and for how long."""

import enum
import random

import msgspec

# Average pause between the starts of two faults of a series, in seconds; faults last longer,
# so that they overlap.
GAP_SECONDS = 0.5
# Length of a series of faults, and of the planned work and slow servers that follow it: many rules
# are judged only where nothing else has been disturbed for a while.
SERIES_MIN_SECONDS = 4.0
SERIES_MAX_SECONDS = 8.0
CALM_SECONDS = 13.0
LENGTH_MIN_SECONDS = 0.3
LENGTH_MAX_SECONDS = 2.0
# Time without new faults at the start and the end of a run.
CALM_START_SECONDS = 2.0
CALM_END_SECONDS = 6.0
# Share of the runs that end with a kill of all instances.
FINAL_KILL_SHARE = 0.5
# How long the store is disturbed from that kill on.
FINAL_STORE_SECONDS = 2.5


class Kind(enum.Enum):
    """What strikes."""

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


CALM_KINDS = (Kind.DRAIN, Kind.EDIT, Kind.RESHARD, Kind.SLOW, Kind.RESTART)
HOW_BY_KIND = {
    Kind.LINK: ("delay", "one_way", "silence", "reset"),
    Kind.STORE: ("refuse", "reset", "silent", "slow", "forget"),
    Kind.STORE_LINK: ("delay", "one_way", "silence", "reset"),
    Kind.SERVER: ("error", "lost", "shed", "foreign_id", "truncated", "no_proof"),
    Kind.SERVER_LINK: ("delay", "one_way", "silence", "reset"),
}
WEIGHT_BY_KIND = {
    Kind.KILL: 2,
    Kind.STOP: 3,
    Kind.RESTART: 2,
    Kind.RELOAD: 1,
    Kind.KILL_ALL: 0.3,
    Kind.LINK: 4,
    Kind.STORE: 3,
    Kind.STORE_LINK: 2,
    Kind.SERVER: 4,
    Kind.SLOW: 3,
    Kind.SERVER_LINK: 2,
    Kind.DRAIN: 2,
    Kind.EDIT: 3,
    Kind.RESHARD: 1,
}


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Attributes:
        at: Start, in seconds from the start of the load.
        kind: What strikes.
        how: Variant; empty where there is one only.
        instance: Instance concerned, from 1.
        other: Other end of a link between instances.
        place: Number that chooses a server.
        for_s: Length in seconds.
    """

    at: float
    kind: Kind
    how: str
    instance: int
    other: int
    place: int
    for_s: float


class Plan(msgspec.Struct, frozen=True):
    """All faults of a run, in the order of time.

    Attributes:
        seed: Seed that decides the plan.
        seconds: Length of the load.
        instances: Number of instances.
        cell_size: Instances of a cell.
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
            for fault in self.faults
        ]
        return "\n".join(lines)


def make(seed: int, seconds: float, instances: int) -> Plan:
    """Returns the plan that a seed decides."""
    chance = random.Random(f"soak/{seed}")
    cell_size = chance.choice((1, 2, 3))
    faults: list[Fault] = []
    at = CALM_START_SECONDS
    last = seconds - CALM_END_SECONDS
    while at < last:
        series_ends = min(last, at + chance.uniform(SERIES_MIN_SECONDS, SERIES_MAX_SECONDS))
        while (at := at + chance.expovariate(1.0 / GAP_SECONDS)) < series_ends:
            faults.append(_fault(chance, at, instances, tuple(WEIGHT_BY_KIND)))
        calm_ends = min(last, at + CALM_SECONDS)
        while (at := at + chance.expovariate(1.0 / GAP_SECONDS)) < calm_ends:
            faults.append(_fault(chance, at, instances, CALM_KINDS))
    if chance.random() < FINAL_KILL_SHARE:
        at = max(at, last)
        how = chance.choice(HOW_BY_KIND[Kind.STORE])
        faults.append(Fault(at, Kind.STORE, how, 1, 2, 0, FINAL_STORE_SECONDS))
        faults.append(Fault(at, Kind.KILL_ALL, "", 1, 2, 0, LENGTH_MIN_SECONDS))
    return Plan(seed, seconds, instances, cell_size, tuple(faults))


def _fault(chance: random.Random, at: float, instances: int, kinds: tuple[Kind, ...]) -> Fault:
    kind = chance.choices(kinds, weights=[WEIGHT_BY_KIND[kind] for kind in kinds])[0]
    instance, other = chance.sample(range(1, instances + 1), 2)
    return Fault(
        at=round(at, 2),
        kind=kind,
        how=chance.choice(HOW_BY_KIND.get(kind, ("",))),
        instance=instance,
        other=other,
        place=chance.randrange(1000),
        for_s=round(chance.uniform(LENGTH_MIN_SECONDS, LENGTH_MAX_SECONDS), 2),
    )
