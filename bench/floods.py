"""Measures goodput by rank while the queries of one rank exceed the capacity of the servers.

One deployment of the example ``zurichsee``, by default with three instances. The phases send a
steady load of all ranks, or background queries alone up to 1.5 times the capacity; in the flood
phases, one rank sends ten times the capacity, beside the steady load of the others or alone.

Usage: ``python -m bench.floods [--seconds N] [--instances N] [--extra INI]``.
"""

import argparse
import sys

import msgspec

from bench import load
from standins import site

# Median and mean of the work time of a server, whose distribution is log-normal; see
# ``backends.WORK_TIME_SIGMA``.
MEDIAN_MS = 40.0
MEAN_MS = 41.3
# Two servers for each shard of the pool, with two slots each.
SLOTS_PER_SERVICE = 4
CAPACITY_PER_SECOND = SLOTS_PER_SERVICE / (MEAN_MS / 1000)
FLOOD_FACTOR = 10.0
WARM_UP_SECONDS = 6.0
# Time at the start of each phase whose requests are not counted.
SETTLE_SECONDS = 3.0
ROUTE_BY_RANK = {
    "urgent": "slot-finder",
    "normal": "boat-search",
    "background": "repair-log",
}
STEADY_RATE_BY_RANK = {"urgent": 25.0, "normal": 12.0, "background": 12.0}


class Phase(msgspec.Struct, frozen=True):
    """A load that is sent for a time.

    Attributes:
        name: Name in the printed table.
        rate_by_rank: Queries per second of each rank.
    """

    name: str
    rate_by_rank: dict[str, float]


def make_phases() -> list[Phase]:
    """Returns the phases in the order in which they run."""
    steady = STEADY_RATE_BY_RANK
    flood = CAPACITY_PER_SECOND * FLOOD_FACTOR
    return [
        Phase("steady", steady),
        Phase("peak, background at capacity", {"background": CAPACITY_PER_SECOND}),
        Phase("peak, background at 1.5 capacity", {"background": 1.5 * CAPACITY_PER_SECOND}),
        Phase("background flood", {**steady, "background": flood}),
        Phase("urgent flood", {**steady, "urgent": flood}),
        Phase("background flood alone", {"background": flood}),
    ]


def main() -> None:
    """Runs the phases and prints a row for each phase and rank."""
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
        warm_up = [load.RequestStream(ROUTE_BY_RANK["normal"], CAPACITY_PER_SECOND / 2)]
        load.run(urls, warm_up, WARM_UP_SECONDS, options.seed)
        print(f"capacity {CAPACITY_PER_SECOND:.0f} queries/s")
        print("| phase | rank | sent/s | useful/s | useful share | p50 ms | p99 ms |")
        print("|---|---|---|---|---|---|---|")
        for phase in make_phases():
            if options.phase in phase.name:
                run_phase(phase, urls, options)
    finally:
        deployment.stop()


def run_phase(phase: Phase, urls: list[str], options: argparse.Namespace) -> None:
    """Runs a phase and prints its rows, without the first ``SETTLE_SECONDS``."""
    streams = [
        load.RequestStream(ROUTE_BY_RANK[rank], rate) for rank, rate in phase.rate_by_rank.items()
    ]
    samples = load.run(urls, streams, SETTLE_SECONDS + options.seconds, options.seed)
    counted = [sample for sample in samples if sample.sent_at_seconds >= SETTLE_SECONDS]
    for rank in phase.rate_by_rank:
        summary = load.summarise(counted, ROUTE_BY_RANK[rank])
        print(
            f"| {phase.name} | {rank} | {summary.sent / options.seconds:.1f} |"
            f" {summary.useful / options.seconds:.1f} | {summary.useful / summary.sent:.3f} |"
            f" {summary.p50_ms:.0f} | {summary.p99_ms:.0f} |"
        )
    count_by_reason: dict[str, int] = {}
    for sample in counted:
        if sample.outcome not in ("answered",):
            key = f"{sample.route} {sample.outcome} {sample.reason}".strip()
            count_by_reason[key] = count_by_reason.get(key, 0) + 1
    print(f"<!-- {count_by_reason} -->")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
