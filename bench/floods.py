"""Service by rank while one kind of work floods in beyond what the fleet can take.

One deployment of the club at three instances. Each phase sends the same steady load of
all ranks; the flood phases add ten times the capacity of one rank.

Usage: ``python -m bench.floods [--seconds N] [--instances N] [--extra INI]``.
"""

import argparse
import sys

import msgspec

from bench import load
from standins import site

MEDIAN_MS = 40.0
MEAN_MS = 41.3
SLOTS_PER_SERVICE = 4
CAPACITY = SLOTS_PER_SERVICE / (MEAN_MS / 1000)
FLOOD_FACTOR = 10.0
WARM_SECONDS = 6.0
SETTLE_SECONDS = 3.0
ROUTE_BY_RANK = {
    "urgent": "slot-finder",
    "normal": "boat-search",
    "background": "repair-log",
}
STEADY_RATE_BY_RANK = {"urgent": 25.0, "normal": 12.0, "background": 12.0}


class Phase(msgspec.Struct, frozen=True):
    """A load.

    Attributes:
        name: Name shown.
        rate_by_rank: Requests a second of each rank.
    """

    name: str
    rate_by_rank: dict[str, float]


def phases() -> list[Phase]:
    """Returns the phases in order."""
    steady = STEADY_RATE_BY_RANK
    flood = CAPACITY * FLOOD_FACTOR
    return [
        Phase("steady", steady),
        Phase("peak, background at capacity", {"background": CAPACITY}),
        Phase("peak, background at 1.5 capacity", {"background": 1.5 * CAPACITY}),
        Phase("background flood", {**steady, "background": flood}),
        Phase("urgent flood", {**steady, "urgent": flood}),
        Phase("background flood alone", {"background": flood}),
    ]


def main() -> None:
    """Prints a row for each phase and rank."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--seed", type=int, default=11)
    parser.add_argument("--extra", default="", help="INI text added to the settings")
    parser.add_argument("--phase", default="", help="part of a phase's name")
    options = parser.parse_args()
    deployment = site.Site(
        site.SiteOptions(
            instances=options.instances,
            pools=("allocator",),
            median_ms=MEDIAN_MS,
            backend_processes=3,
            settings=options.extra.replace("\\n", "\n"),
            dropped_option="partial_after_ms",
        )
    )
    try:
        deployment.start()
        urls = [deployment.url(number) for number in range(1, options.instances + 1)]
        warm = [load.Stream(ROUTE_BY_RANK["normal"], CAPACITY / 2)]
        load.run(urls, warm, WARM_SECONDS, options.seed)
        print(f"capacity {CAPACITY:.0f} queries/s")
        print("| phase | rank | sent/s | useful/s | useful share | p50 ms | p99 ms |")
        print("|---|---|---|---|---|---|---|")
        for phase in phases():
            if options.phase in phase.name:
                show(phase, urls, options)
    finally:
        deployment.stop()


def show(phase: Phase, urls: list[str], options: argparse.Namespace) -> None:
    """Runs a phase and prints its rows; the first seconds are left out."""
    streams = [load.Stream(ROUTE_BY_RANK[rank], rate) for rank, rate in phase.rate_by_rank.items()]
    samples = load.run(urls, streams, SETTLE_SECONDS + options.seconds, options.seed)
    counted = [sample for sample in samples if sample.sent_seconds >= SETTLE_SECONDS]
    for rank in phase.rate_by_rank:
        found = load.summarise(counted, ROUTE_BY_RANK[rank])
        print(
            f"| {phase.name} | {rank} | {found.sent / options.seconds:.1f} |"
            f" {found.useful / options.seconds:.1f} | {found.useful / found.sent:.3f} |"
            f" {found.p50_ms:.0f} | {found.p99_ms:.0f} |"
        )
    reasons: dict[str, int] = {}
    for sample in counted:
        if sample.outcome not in ("answered",):
            key = f"{sample.route} {sample.outcome} {sample.reason}".strip()
            reasons[key] = reasons.get(key, 0) + 1
    print(f"<!-- {reasons} -->")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
