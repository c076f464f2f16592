"""Configuration: time until an edit is in force everywhere, reads, bytes and memory.

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
KEY = "routes"
TARGET_SECONDS = 2.0


def counter(deployment: site.Site, number: int, name: str) -> float:
    """Returns the sum of an instance's counter over its labels."""
    text = site.fetch(f"{deployment.url(number)}/metrics") or ""
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(f"monsoonhoist_{name}")
    )


def reads() -> int:
    """Returns the calls to the configuration service so far."""
    return json.loads(site.fetch(f"{site.platform_url()}/control/reads") or "{}")["reads"]


def resident_mb(deployment: site.Site, number: int) -> float:
    """Returns an instance's resident memory."""
    process = deployment.process_by_name[f"node-{number}"]
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1000


def edit_seconds(deployment: site.Site, numbers: range) -> float:
    """Publishes an edit and returns the time until all instances have it in force."""
    text = (site.ROOT / "examples" / "zurichsee" / "routes.ini").read_text(encoding="utf-8")
    started = time.monotonic()
    number = deployment.publish(KEY, text + f"; edited at {started}\n")
    waiting = set(numbers)
    while waiting:
        for instance in list(waiting):
            keys = deployment.status(instance)["keys"]
            if any(row["key"] == KEY and row["number"] >= number for row in keys):
                waiting.discard(instance)
    return time.monotonic() - started


def measure(instances: int, edits: int) -> None:
    """Runs one deployment and prints its row."""
    deployment = site.Site(site.SiteOptions(instances=instances, pools=("boathouse",)))
    numbers = range(1, instances + 1)
    try:
        deployment.start()
        idle_reads = reads()
        idle_bytes = sum(counter(deployment, n, "stream_bytes") for n in numbers)
        time.sleep(IDLE_SECONDS)
        steady_reads = (reads() - idle_reads) / IDLE_SECONDS
        now_bytes = sum(counter(deployment, n, "stream_bytes") for n in numbers)
        steady_bytes = (now_bytes - idle_bytes) / IDLE_SECONDS / instances
        before_reads = reads()
        times = [edit_seconds(deployment, numbers) for _ in range(edits)]
        edit_reads = (reads() - before_reads) / edits
        memory = max(resident_mb(deployment, n) for n in numbers)
    finally:
        deployment.stop()
    print(
        f"| {instances} | {statistics.median(times) * 1000:.0f} | {max(times) * 1000:.0f} |"
        f" {steady_reads:.1f} | {edit_reads:.1f} | {steady_bytes:.0f} | {memory:.0f} |"
    )
    sys.stdout.flush()


def main() -> None:
    """Prints a row for each number of instances."""
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
