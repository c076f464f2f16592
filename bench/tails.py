"""Tail latency, coverage and extra load under straggling, slow and lost servers.

Compares the policies in use with the baseline (direct dispatch, round robin, no hedge,
no ranks) in one run, for both users.

Usage: ``python -m bench.tails [--seconds N] [--rate N] [--instances N]``.
"""

import argparse
import sys

import msgspec

from bench import load
from standins import site

BASELINE = (
    "[policy]\nownership = direct\nbalance = round-robin\nhedge = none\n"
    "admission = all\norder = arrival\n"
)
WARM_SECONDS = 4.0


class User(msgspec.Struct, frozen=True):
    """A user's deployment and its urgent route."""

    name: str
    zones: tuple[str, ...]
    pool: str
    route: str
    services: int


USERS = (
    User("zurichsee", ("wollishofen", "kuesnacht", "waedenswil"), "allocator", "slot-finder", 20),
    User(
        "tasmania-south",
        ("hobart", "huon", "derwent-valley", "tasman"),
        "bakery-desk",
        "crock-match",
        20,
    ),
)


class Fault(msgspec.Struct, frozen=True):
    """What is wrong with the backend servers."""

    name: str
    straggle_share: float = 0.0
    slow_server: bool = False
    lost_server: bool = False


FAULTS = (
    Fault("none"),
    Fault("1% straggling", straggle_share=0.01),
    Fault("5% straggling", straggle_share=0.05),
    Fault("1% straggling, one slow, one lost", 0.01, True, True),
)


class Row(msgspec.Struct, frozen=True):
    """Result of one policy under one fault."""

    summary: load.Summary
    extra_load: float


def measure(user: User, fault: Fault, policy: str, options: argparse.Namespace) -> Row:
    """Runs one deployment under load and returns what it yields."""
    deployment = site.Site(
        site.SiteOptions(
            example=user.name,
            zones=user.zones,
            instances=options.instances,
            pools=(user.pool,),
            straggle_share=fault.straggle_share,
            settings=policy,
            dropped_option="partial_after_ms" if policy == BASELINE else "",
            backend_processes=2,
        )
    )
    try:
        deployment.start()
        servers = deployment.servers(user.pool)
        urls = [deployment.url(number) for number in range(1, options.instances + 1)]
        streams = [load.Stream(user.route, options.rate)]
        load.run(urls, streams, WARM_SECONDS, options.seed)
        if fault.slow_server:
            deployment.behave(servers[0], slow_factor=10.0)
        if fault.lost_server:
            deployment.behave(servers[3], lost=True)
        before = sum(deployment.journal(server)["calls"] for server in servers)
        samples = load.run(urls, streams, options.seconds, options.seed + 1)
        calls = sum(deployment.journal(server)["calls"] for server in servers) - before
    finally:
        deployment.stop()
    summary = load.summarise(samples, user.route)
    return Row(summary, calls / (summary.sent * user.services) - 1.0)


def main() -> None:
    """Prints a table row for each user, fault and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--user", default="")
    parser.add_argument("--fault", default="", help="part of the fault's name")
    parser.add_argument("--extra", default="", help="INI text added to the policies in use")
    options = parser.parse_args()
    print("| user | fault | policy | sent | whole | p50 ms | p99 ms | p99 ratio | extra load |")
    print("|---|---|---|---|---|---|---|---|---|")
    for user in USERS:
        if options.user and options.user != user.name:
            continue
        for fault in FAULTS:
            if options.fault not in fault.name:
                continue
            baseline = measure(user, fault, BASELINE, options)
            ours = measure(user, fault, options.extra.replace("\\n", "\n"), options)
            for name, row in (("baseline", baseline), ("in use", ours)):
                found = row.summary
                ratio = found.p99_ms / baseline.summary.p99_ms
                print(
                    f"| {user.name} | {fault.name} | {name} | {found.sent} |"
                    f" {found.answered / found.sent:.4f} | {found.p50_ms:.0f} |"
                    f" {found.p99_ms:.0f} | {ratio:.2f} | {row.extra_load:+.3f} |"
                )
                sys.stdout.flush()


if __name__ == "__main__":
    main()
