"""Compares calls by owners with direct dispatch: tail latency, extra load, limits of the servers.

For 1, 3 and 7 instances of the example ``zurichsee`` and each ownership policy, a load near the
capacity is sent while one instance is replaced. The statistics of the servers give the numbers of
connections and concurrent calls.

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
SHARD_COUNT = 20
MEDIAN_MS = 20.0
QUERIES_PER_SECOND = 60.0
WARM_UP_SECONDS = 4.0
# Limits of each server in the table of the pool.
SLOTS = 2
CONNECTIONS = 25
POLICIES = ("rendezvous", "direct")


class PoolLoad(msgspec.Struct, frozen=True):
    """Totals and peaks from the statistics of all servers of the pool.

    Attributes:
        calls_peak: Largest number of concurrent calls at a server, including queued ones.
        servers_over_slots: Number of servers that ever had more calls than slots.
        shed_calls: Number of calls refused because of overload.
        connections_peak: Largest number of connections at a server.
        calls: Number of all calls.
    """

    calls_peak: int
    servers_over_slots: int
    shed_calls: int
    connections_peak: int
    calls: int


def read_pool_load(deployment: site.Site) -> PoolLoad:
    """Reads the statistics of all servers of the pool."""
    all_statistics = [deployment.server_statistics(server) for server in deployment.servers(POOL)]
    return PoolLoad(
        calls_peak=max(statistics["present_peak"] for statistics in all_statistics),
        servers_over_slots=sum(statistics["present_peak"] > SLOTS for statistics in all_statistics),
        shed_calls=sum(statistics["shed"] for statistics in all_statistics),
        connections_peak=max(statistics["connections_peak"] for statistics in all_statistics),
        calls=sum(statistics["calls"] for statistics in all_statistics),
    )


def replace_instance(deployment: site.Site, number: int, seconds: float) -> None:
    """Stops an instance gracefully and restarts it, after a third of the run."""
    time.sleep(seconds / 3)
    deployment.signal(f"node-{number}", signal.SIGTERM)
    deployment.wait_exit(f"node-{number}")
    deployment.start_instance(number)


def measure(instances: int, policy: str, options: argparse.Namespace) -> None:
    """Runs one deployment under load and prints its row."""
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
        # Callers use all instances except the one that is replaced.
        called_instances = range(1, max(2, instances))
        urls = [deployment.url(number) for number in called_instances]
        streams = [load.RequestStream(ROUTE, QUERIES_PER_SECOND)]
        load.run(urls, streams, WARM_UP_SECONDS, options.seed)
        calls_before = read_pool_load(deployment).calls
        if instances > 1:
            arguments = (deployment, instances, options.seconds)
            threading.Thread(target=replace_instance, args=arguments, daemon=True).start()
        samples = load.run(urls, streams, options.seconds, options.seed + 1)
        pool_load = read_pool_load(deployment)
    finally:
        deployment.stop()
    summary = load.summarise(samples, ROUTE)
    extra_load = (pool_load.calls - calls_before) / (summary.sent * SHARD_COUNT) - 1
    print(
        f"| {instances} | {policy} | {summary.sent} | {summary.answered / summary.sent:.4f} |"
        f" {summary.p50_ms:.0f} | {summary.p99_ms:.0f} | {extra_load:+.3f} |"
        f" {pool_load.calls_peak} | {pool_load.servers_over_slots} | {pool_load.shed_calls} |"
        f" {pool_load.connections_peak} |"
    )
    sys.stdout.flush()


def main() -> None:
    """Runs and prints a row for each number of instances and ownership policy."""
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
