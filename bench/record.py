"""Records one trace for each kind of failure, from real runs.

Usage: ``python -m bench.record``. Each trace goes to ``features/traces`` with the outcomes
that the callers saw beside it.
"""

import gzip
import json
import pathlib
import signal
from collections.abc import Callable

from standins import site

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "features" / "traces"
ROUTE = "boat-search"
QUESTIONS = 4


def kill(deployment: site.Site) -> None:
    """Kills an instance."""
    deployment.signal("node-3", signal.SIGKILL)


def stop(deployment: site.Site) -> None:
    """Stops an instance."""
    deployment.signal("node-3", signal.SIGSTOP)


def lose(deployment: site.Site) -> None:
    """Lets both servers of a shard answer no more."""
    deployment.behave("allocator-05-a", lost=True)
    deployment.behave("allocator-05-b", lost=True)


def drain(deployment: site.Site) -> None:
    """Lets a server leave."""
    deployment.behave("allocator-04-a", draining=True)


def change_snapshot(deployment: site.Site) -> None:
    """Moves half of the servers to a new snapshot."""
    for server in deployment.servers("allocator")[::2]:
        deployment.behave(server, snapshots=[2])


def straggle(deployment: site.Site) -> None:
    """Slows one server down."""
    deployment.behave("allocator-02-a", slow_factor=20.0)


FAULT_BY_NAME: dict[str, Callable[[site.Site], None]] = {
    "killed": kill,
    "stopped": stop,
    "lost": lose,
    "draining": drain,
    "snapshot": change_snapshot,
    "slow": straggle,
}


def record(name: str, fault: Callable[[site.Site], None]) -> None:
    """Records one trace at instance 1."""
    deployment = site.Site(site.SiteOptions(pools=("allocator",), traced_instance=1))
    try:
        deployment.start()
        answers = [deployment.ask(1, ROUTE, f"question {n}") for n in range(QUESTIONS)]
        fault(deployment)
        answers += [deployment.ask(1, ROUTE, f"late question {n}") for n in range(QUESTIONS)]
        deployment.signal("node-1", signal.SIGTERM)
        deployment.wait_exit("node-1")
        trace = (deployment.folder / "trace.jsonl").read_bytes()
    finally:
        deployment.stop()
    FOLDER.mkdir(exist_ok=True)
    with gzip.GzipFile(FOLDER / f"{name}.jsonl.gz", "wb", mtime=0) as target:
        target.write(trace)
    text = json.dumps(answers, indent=1)
    (FOLDER / f"{name}.answers.json").write_text(text, encoding="utf-8")
    outcomes = [answer["outcome"] for answer in answers]
    print(f"{name}: {len(trace)} bytes, outcomes {outcomes}")


def main() -> None:
    """Records all traces."""
    for name, fault in FAULT_BY_NAME.items():
        record(name, fault)


if __name__ == "__main__":
    main()
