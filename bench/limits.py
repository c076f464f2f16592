"""Owners against direct dispatch: tails, extra load, and limits kept at the servers.

For 1, 3 and 7 instances and each ownership policy: the club's load near capacity, while one
instance is replaced. The servers' journals tell connections and concurrent calls.

Usage: ``python -m bench.limits [--seconds N]``.
"""

import argparse
import signal
import sys
import threading
import time

import msgspec

from bench import load
from standins import site

POOL = "allocator"
ROUTE = "boat-search"
SERVICES = 20
MEDIAN_MS = 20.0
RATE = 60.0
WARM_SECONDS = 4.0
SLOTS = 2
CONNECTIONS = 25
POLICIES = ("rendezvous", "direct")


class Limits(msgspec.Struct, frozen=True):
    """What the journals of all servers of the pool tell.

    Attributes:
        present_peak: Most calls at a server at a time, waiting ones included.
        over: Servers that ever had more calls than slots.
        shed: Calls refused for load.
        connections_peak: Most connections at a server.
        calls: Calls in all.
    """

    present_peak: int
    over: int
    shed: int
    connections_peak: int
    calls: int


def read_limits(deployment: site.Site) -> Limits:
    """Reads the journals."""
    journals = [deployment.journal(server) for server in deployment.servers(POOL)]
    return Limits(
        present_peak=max(journal["present_peak"] for journal in journals),
        over=sum(journal["present_peak"] > SLOTS for journal in journals),
        shed=sum(journal["shed"] for journal in journals),
        connections_peak=max(journal["connections_peak"] for journal in journals),
        calls=sum(journal["calls"] for journal in journals),
    )


def replace_instance(deployment: site.Site, number: int, seconds: float) -> None:
    """Lets an instance leave and starts it again, in the middle of the run."""
    time.sleep(seconds / 3)
    deployment.signal(f"node-{number}", signal.SIGTERM)
    deployment.wait_exit(f"node-{number}")
    deployment.start_instance(number)


def measure(instances: int, policy: str, options: argparse.Namespace) -> None:
    """Runs one deployment and prints its row."""
    deployment = site.Site(
        site.SiteOptions(
            instances=instances,
            pools=(POOL,),
            median_ms=MEDIAN_MS,
            straggle_share=0.01,
            settings=f"[timing]\nbalancer_lag_ms = 500\n[policy]\nownership = {policy}\n",
            backend_processes=2,
        )
    )
    try:
        deployment.start()
        # Callers use all instances but the one that is replaced.
        kept = range(1, max(2, instances))
        urls = [deployment.url(number) for number in kept]
        streams = [load.Stream(ROUTE, RATE)]
        load.run(urls, streams, WARM_SECONDS, options.seed)
        before = read_limits(deployment).calls
        if instances > 1:
            arguments = (deployment, instances, options.seconds)
            threading.Thread(target=replace_instance, args=arguments, daemon=True).start()
        samples = load.run(urls, streams, options.seconds, options.seed + 1)
        limits = read_limits(deployment)
    finally:
        deployment.stop()
    found = load.summarise(samples, ROUTE)
    extra = (limits.calls - before) / (found.sent * SERVICES) - 1
    print(
        f"| {instances} | {policy} | {found.sent} | {found.answered / found.sent:.4f} |"
        f" {found.p50_ms:.0f} | {found.p99_ms:.0f} | {extra:+.3f} | {limits.present_peak} |"
        f" {limits.over} | {limits.shed} | {limits.connections_peak} |"
    )
    sys.stdout.flush()


def main() -> None:
    """Prints a row for each number of instances and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=9.0)
    parser.add_argument("--seed", type=int, default=5)
    parser.add_argument("--instances", type=int, nargs="*", default=[1, 3, 7])
    options = parser.parse_args()
    print(f"slots {SLOTS}, connections {CONNECTIONS} at each server")
    print(
        "| instances | ownership | sent | whole | p50 ms | p99 ms | extra load | calls at a server,"
        " peak | servers over their slots | shed | connections, peak |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|---|")
    for instances in options.instances:
        for policy in POLICIES:
            measure(instances, policy, options)


if __name__ == "__main__":
    main()
