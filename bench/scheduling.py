"""Compares the scheduling mechanisms on generated load, through the real kernels.

Usage: ``python -m bench.scheduling [--seeds N] [--rate-factor X] [--only NAME]``. Repeatable from
its seeds; needs no network and about 2 s of processor time for each row and seed.
"""

import argparse
import time

import msgspec

from bench import scheduling_load
from monsoonhoist.core import data, scheduling

VARIANTS = {
    "none": (scheduling.Options(), "expected-latency"),
    "goal_order": (scheduling.Options(goal_order=True), "expected-latency"),
    "rank_slots": (scheduling.Options(rank_slots=True), "expected-latency"),
    "answer_timing": (scheduling.Options(answer_timing=True), "expected-latency"),
    "all three": (
        scheduling.Options(goal_order=True, rank_slots=True, answer_timing=True),
        "expected-latency",
    ),
}


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile of the values; 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def main() -> None:
    """Runs each variant with each seed and prints a row for each rank."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rate-factor", type=float, default=1.0)
    parser.add_argument("--entries", type=int, default=7)
    parser.add_argument("--only", default="", help="part of the name of a variant")
    arguments = parser.parse_args()
    kinds = tuple(
        msgspec.structs.replace(kind, rate=kind.rate * arguments.rate_factor)
        for kind in (scheduling_load.URGENT, scheduling_load.NORMAL)
    )
    load = scheduling_load.Load(kinds, arguments.seconds, arguments.entries)
    print("| variant | rank | queries | in goal | worth | whole | p50 ms | p99 ms | calls |")
    print("|---|---|---|---|---|---|---|---|---|")
    started_at = time.process_time()
    for name, (options, balance) in VARIANTS.items():
        if arguments.only and arguments.only not in name:
            continue
        runs = [
            scheduling_load.Run(load, options, seed, balance).run()
            for seed in range(arguments.seeds)
        ]
        for rank in (data.Rank.URGENT, data.Rank.NORMAL):
            samples = [sample for run in runs for sample in run.of_rank(rank)]
            latencies = [sample.latency_seconds * 1000 for sample in samples]
            print(
                f"| {name} | {rank.value} | {len(samples)}"
                f" | {sum(sample.is_in_goal for sample in samples) / len(samples):.3f}"
                f" | {sum(sample.worth for sample in samples) / len(samples):.3f}"
                f" | {sum(sample.share >= 1.0 for sample in samples) / len(samples):.3f}"
                f" | {quantile(latencies, 0.5):.1f} | {quantile(latencies, 0.99):.1f}"
                f" | {sum(run.calls for run in runs)} |"
            )
        decisions = sum(
            (run.count_by_decision for run in runs), start=type(runs[0].count_by_decision)()
        )
        print("<!--", {key.value: count for key, count in decisions.items()}, "-->")
    print(f"processor time: {time.process_time() - started_at:.1f} s")


if __name__ == "__main__":
    main()
