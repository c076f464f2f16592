"""Measures tail latency, coverage and extra load with straggling, slow and lost servers.

Compares the default policies with a baseline (direct dispatch, round robin, no hedging, no
ranks) in one run, for the deployments of both users.

Usage: ``python -m bench.tails [--seconds N] [--rate N] [--instances N]``.
"""

import argparse
import sys

import msgspec

from bench import load
from standins import site

BASELINE_SETTINGS = (
    "[policy]\nownership = direct\nbalance = round-robin\nhedge = none\n"
    "admission = all\norder = arrival\n"
)
WARM_UP_SECONDS = 4.0


class UserDeployment(msgspec.Struct, frozen=True):
    """The deployment of a user, and the urgent route that is measured.

    Attributes:
        name: Folder of the example tables.
        zones: Availability zones of the instances.
        pool: Pool of the route.
        route: The route.
        shard_count: Number of shards of the pool.
    """

    name: str
    zones: tuple[str, ...]
    pool: str
    route: str
    shard_count: int


USER_DEPLOYMENTS = (
    UserDeployment(
        "zurichsee", ("wollishofen", "kuesnacht", "waedenswil"), "allocator", "slot-finder", 20
    ),
    UserDeployment(
        "tasmania-south",
        ("hobart", "huon", "derwent-valley", "tasman"),
        "bakery-desk",
        "crock-match",
        20,
    ),
)


class Fault(msgspec.Struct, frozen=True):
    """A fault of the backend servers.

    Attributes:
        name: Name in the printed table.
        straggle_share: Share of the calls that are stragglers, from 0 to 1.
        has_slow_server: Whether the work of one server takes ten times as long.
        has_lost_server: Whether one server accepts calls but never replies.
    """

    name: str
    straggle_share: float = 0.0
    has_slow_server: bool = False
    has_lost_server: bool = False


FAULTS = (
    Fault("none"),
    Fault("1% straggling", straggle_share=0.01),
    Fault("5% straggling", straggle_share=0.05),
    Fault("1% straggling, one slow, one lost", 0.01, True, True),
)


class Measurement(msgspec.Struct, frozen=True):
    """Result of a deployment with one fault.

    Attributes:
        summary: Statistics of the answers.
        extra_load: Calls beyond one for each sub-request, as a share of the sub-requests.
    """

    summary: load.Summary
    extra_load: float


def measure(
    user: UserDeployment, fault: Fault, settings: str, options: argparse.Namespace
) -> Measurement:
    """Runs one deployment under load and returns the result."""
    deployment = site.Site(
        site.SiteOptions(
            example=user.name,
            zones=user.zones,
            instances=options.instances,
            pools=(user.pool,),
            straggle_share=fault.straggle_share,
            settings=settings,
            dropped_option="partial_after_ms" if settings == BASELINE_SETTINGS else "",
            backend_processes=2,
        )
    )
    try:
        deployment.start()
        servers = deployment.servers(user.pool)
        urls = [deployment.url(number) for number in range(1, options.instances + 1)]
        streams = [load.RequestStream(user.route, options.rate)]
        load.run(urls, streams, WARM_UP_SECONDS, options.seed)
        # The two servers are of different shards, which have two servers each.
        if fault.has_slow_server:
            deployment.set_behaviour(servers[0], slow_factor=10.0)
        if fault.has_lost_server:
            deployment.set_behaviour(servers[3], lost=True)
        calls_before = sum(deployment.server_statistics(server)["calls"] for server in servers)
        samples = load.run(urls, streams, options.seconds, options.seed + 1)
        calls = (
            sum(deployment.server_statistics(server)["calls"] for server in servers) - calls_before
        )
    finally:
        deployment.stop()
    summary = load.summarise(samples, user.route)
    return Measurement(summary, calls / (summary.sent * user.shard_count) - 1.0)


def main() -> None:
    """Runs and prints a row for each user, fault and set of policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--user", default="")
    parser.add_argument("--fault", default="", help="part of the fault's name")
    parser.add_argument(
        "--extra", default="", help="INI text for the runs with the default policies"
    )
    options = parser.parse_args()
    print("| user | fault | policy | sent | whole | p50 ms | p99 ms | p99 ratio | extra load |")
    print("|---|---|---|---|---|---|---|---|---|")
    for user in USER_DEPLOYMENTS:
        if options.user and options.user != user.name:
            continue
        for fault in FAULTS:
            if options.fault not in fault.name:
                continue
            baseline = measure(user, fault, BASELINE_SETTINGS, options)
            in_use = measure(user, fault, options.extra.replace("\\n", "\n"), options)
            for name, measurement in (("baseline", baseline), ("in use", in_use)):
                summary = measurement.summary
                ratio = summary.p99_ms / baseline.summary.p99_ms
                print(
                    f"| {user.name} | {fault.name} | {name} | {summary.sent} |"
                    f" {summary.answered / summary.sent:.4f} | {summary.p50_ms:.0f} |"
                    f" {summary.p99_ms:.0f} | {ratio:.2f} | {measurement.extra_load:+.3f} |"
                )
                sys.stdout.flush()


if __name__ == "__main__":
    main()
