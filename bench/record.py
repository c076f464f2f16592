"""Records the trace of an instance in a real run, once for each kind of fault.

Usage: ``python -m bench.record``. The traces are written to ``features/traces``, each with the
answers that the callers received.
"""

import gzip
import json
import pathlib
import signal
from collections.abc import Callable

from standins import site

TRACES_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "features" / "traces"
ROUTE = "boat-search"
QUERY_COUNT = 4


def kill(deployment: site.Site) -> None:
    """Kills instance 3."""
    deployment.signal("node-3", signal.SIGKILL)


def suspend(deployment: site.Site) -> None:
    """Suspends instance 3."""
    deployment.signal("node-3", signal.SIGSTOP)


def hang_shard(deployment: site.Site) -> None:
    """Makes both servers of a shard accept calls without answering them."""
    deployment.set_behaviour("allocator-05-a", lost=True)
    deployment.set_behaviour("allocator-05-b", lost=True)


def drain(deployment: site.Site) -> None:
    """Makes a server refuse calls because it is draining."""
    deployment.set_behaviour("allocator-04-a", draining=True)


def change_snapshot(deployment: site.Site) -> None:
    """Replaces the snapshot of half of the servers."""
    for server in deployment.servers("allocator")[::2]:
        deployment.set_behaviour(server, snapshots=[2])


def slow_server(deployment: site.Site) -> None:
    """Slows one server down by a factor of 20."""
    deployment.set_behaviour("allocator-02-a", slow_factor=20.0)


FAULT_BY_NAME: dict[str, Callable[[site.Site], None]] = {
    "killed": kill,
    "stopped": suspend,
    "lost": hang_shard,
    "draining": drain,
    "snapshot": change_snapshot,
    "slow": slow_server,
}


def record(name: str, fault: Callable[[site.Site], None]) -> None:
    """Runs a deployment with a fault and records the trace of instance 1."""
    deployment = site.Site(site.SiteOptions(pools=("allocator",), traced_instance=1))
    try:
        deployment.start()
        answers = [deployment.send_query(1, ROUTE, f"question {n}") for n in range(QUERY_COUNT)]
        fault(deployment)
        answers += [
            deployment.send_query(1, ROUTE, f"late question {n}") for n in range(QUERY_COUNT)
        ]
        deployment.signal("node-1", signal.SIGTERM)
        deployment.wait_exit("node-1")
        trace = (deployment.folder / "trace.jsonl").read_bytes()
    finally:
        deployment.stop()
    TRACES_FOLDER.mkdir(exist_ok=True)
    with gzip.GzipFile(TRACES_FOLDER / f"{name}.jsonl.gz", "wb", mtime=0) as target:
        target.write(trace)
    text = json.dumps(answers, indent=1)
    (TRACES_FOLDER / f"{name}.answers.json").write_text(text, encoding="utf-8")
    outcomes = [answer["outcome"] for answer in answers]
    print(f"{name}: {len(trace)} bytes, outcomes {outcomes}")


def main() -> None:
    """Records a trace for each kind of fault."""
    for name, fault in FAULT_BY_NAME.items():
        record(name, fault)


if __name__ == "__main__":
    main()
