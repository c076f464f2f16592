"""Measures the distribution of table values: time to take effect, reads, bytes and memory.

Usage: ``python -m bench.spread [--instances N ...] [--edits N]``.
"""

import argparse
import json
import pathlib
import statistics
import sys
import time

from standins import site

IDLE_SECONDS = 6.0
TABLE_KEY = "routes"
TARGET_SECONDS = 2.0


def read_counter(deployment: site.Site, number: int, name: str) -> float:
    """Returns a counter of an instance, summed over its labels."""
    text = site.fetch(f"{deployment.url(number)}/metrics") or ""
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(f"monsoonhoist_{name}")
    )


def count_service_reads() -> int:
    """Returns the number of reads of the configuration service so far."""
    return json.loads(site.fetch(f"{site.config_service_url()}/control/reads") or "{}")["reads"]


def read_resident_mb(deployment: site.Site, number: int) -> float:
    """Returns the resident memory of an instance, in megabytes."""
    process = deployment.process_by_name[f"node-{number}"]
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1000


def measure_edit_seconds(deployment: site.Site, numbers: range) -> float:
    """Publishes an edit of the routes and measures until it is in force at all instances."""
    text = (site.ROOT / "examples" / "zurichsee" / "routes.ini").read_text(encoding="utf-8")
    started_at = time.monotonic()
    revision = deployment.publish(TABLE_KEY, text + f"; edited at {started_at}\n")
    waiting = set(numbers)
    while waiting:
        for instance in list(waiting):
            keys = deployment.status(instance)["keys"]
            if any(row["key"] == TABLE_KEY and row["number"] >= revision for row in keys):
                waiting.discard(instance)
    return time.monotonic() - started_at


def measure(instances: int, edits: int) -> None:
    """Runs one deployment with a number of edits and prints its row."""
    deployment = site.Site(site.SiteOptions(instances=instances, pools=("boathouse",)))
    numbers = range(1, instances + 1)
    try:
        deployment.start()
        reads_at_start = count_service_reads()
        bytes_at_start = sum(read_counter(deployment, n, "stream_bytes") for n in numbers)
        time.sleep(IDLE_SECONDS)
        steady_reads = (count_service_reads() - reads_at_start) / IDLE_SECONDS
        bytes_at_end = sum(read_counter(deployment, n, "stream_bytes") for n in numbers)
        steady_bytes = (bytes_at_end - bytes_at_start) / IDLE_SECONDS / instances
        reads_before_edits = count_service_reads()
        edit_times = [measure_edit_seconds(deployment, numbers) for _ in range(edits)]
        edit_reads = (count_service_reads() - reads_before_edits) / edits
        memory_mb = max(read_resident_mb(deployment, n) for n in numbers)
    finally:
        deployment.stop()
    print(
        f"| {instances} | {statistics.median(edit_times) * 1000:.0f} |"
        f" {max(edit_times) * 1000:.0f} |"
        f" {steady_reads:.1f} | {edit_reads:.1f} | {steady_bytes:.0f} | {memory_mb:.0f} |"
    )
    sys.stdout.flush()


def main() -> None:
    """Runs and prints a row for each number of instances."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="*", default=[1, 3, 7, 14])
    parser.add_argument("--edits", type=int, default=20)
    options = parser.parse_args()
    print(
        "| instances | in force, median ms | in force, longest ms | service reads/s, steady |"
        " reads for an edit | stream bytes/s a node, steady | memory MB |"
    )
    print("|---|---|---|---|---|---|---|")
    for instances in options.instances:
        measure(instances, options.edits)


if __name__ == "__main__":
    main()
