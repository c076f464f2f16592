"""Breaks one rule of the program at a time on a scratch copy; a feature must fail.

Usage: ``python -m bench.mutants [--only NAME]``.
"""

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOAK_SECONDS = "32"
SOAK_INSTANCES = "4"
LEFT_OUT = shutil.ignore_patterns(".git", ".venv", "__pycache__", "*.egg-info", ".ruff_cache")


class Mutant(msgspec.Struct, frozen=True):
    """A broken rule.

    Attributes:
        name: What is broken.
        file: File under the package.
        old: Text replaced; it must occur.
        new: Replacement.
        feature: Feature that must fail.
        seed: Seed of the soak that must find it, in place of a feature; 0 for none.
        rule: Rule that the soak must name.
        also: A second mutant that is needed to show the first; its file and texts are used.
    """

    name: str
    file: str
    old: str
    new: str
    feature: str = ""
    seed: int = 0
    rule: str = ""
    also: "Mutant | None" = None

    def describe(self) -> str:
        """Returns what is broken and what must find it."""
        return f"{self.name} ({self.feature or f'soak, seed {self.seed}: {self.rule}'})"


MUTANTS = (
    Mutant(
        "silent streams are kept",
        "node/peers.py",
        "if now - self._last_received_at > self._options.silence.total_seconds():",
        "if False:",
        "failures",
    ),
    Mutant(
        "coverage is always complete",
        "core/coverage.py",
        "complete=not gaps and not overlaps",
        "complete=True",
        "failures",
    ),
    Mutant(
        "results of all snapshots are merged",
        "core/query.py",
        "self._results_by_snapshot.get(self.snapshot, ())",
        "tuple(r for found in self._results_by_snapshot.values() for r in found)",
        "snapshots",
    ),
    Mutant(
        "tickets are not remembered",
        "core/tickets.py",
        "        if state.answer is not None:",
        "        if False:",
        "at_most_once",
    ),
    Mutant(
        "a lost call counts as not run",
        "node/search.py",
        "return events.CallFailed(call_id, reason, True)",
        "return events.CallFailed(call_id, reason, False)",
        "at_most_once",
    ),
    Mutant(
        "a restarted holder takes old tickets",
        "core/tickets.py",
        "if ticket.incarnation != self._incarnation:",
        "if False:",
        "at_most_once",
    ),
    Mutant(
        "older table values are taken",
        "tables/store.py",
        "if current is not None and _sort_key(revision) <= _sort_key(current):",
        "if current is not None and revision == current:",
        "tables",
    ),
    Mutant(
        "peers are not told of new values",
        "node/replication.py",
        "if digest != self._digest and now - replied_at >= DIGEST_REPLY_INTERVAL_SECONDS:",
        "if False:",
        "tables",
    ),
    Mutant(
        "leaving servers are called",
        "core/server.py",
        "        self._draining_until = now + DRAINING_UNAVAILABLE_SECONDS",
        "        return",
        "leaving",
    ),
    Mutant(
        "streams to others than neighbours are not opened",
        "node/peers.py",
        "return member is not None and self._open(member, is_persistent=False).send(message)",
        "return False",
        "sparse",
    ),
    Mutant(
        "shutdown does not wait",
        "node/node.py",
        "while self.active and self._clock.monotonic() < drain_ends_at:",
        "while False:",
        "leaving",
    ),
    Mutant(
        "answers to another request are passed on",
        "node/curl.py",
        "self.is_foreign = header.value != expected.value",
        "self.is_foreign = False",
        "platform",
    ),
    Mutant(
        "the end of a caller's connection is not noticed",
        "platform/callers.py",
        "self._connection.set_close_callback(self.on_connection_close)",
        "pass",
        "platform",
    ),
    Mutant(
        "failures do not count in the choice of servers",
        "policy/balance.py",
        "failure_cost = 12.0",
        "failure_cost = 0.0",
        "server_choice",
    ),
    Mutant(
        "servers that left long ago are a last resort for a new shard",
        "core/owner.py",
        "state.update(servers, self._limit_share, -math.inf)",
        "state.update(servers, self._limit_share, self._clock.monotonic())",
        "server_choice",
    ),
    Mutant(
        "an instance takes its own word for another's",
        "core/watcher_selection.py",
        "contact.reader != self._instance and read_at > self._peer_read_at",
        "read_at > self._peer_read_at",
        "watching",
    ),
    Mutant(
        "silent owners are not replaced",
        "core/entry.py",
        "            self._send(state, silent_services, commands)",
        "            pass",
        "silent_owners",
    ),
    Mutant(
        "an owner that took the work is not asked again",
        "core/failover.py",
        "        owners = state.pop_responsive_owners(self._instance)",
        "        owners = ()",
        "silent_owners",
    ),
    Mutant(
        "equal records count once",
        "policy/merge.py",
        "sorted(entries, reverse=True)",
        "sorted(set(entries), reverse=True)",
        "merge",
    ),
    Mutant(
        "work that may have run is sent again",
        "core/owner.py",
        "is_safe = sub.query.repeatable or not sub.may_have_run",
        "is_safe = True",
        seed=6,
        rule="TWICE",
    ),
    Mutant(
        "work that may have run is refused",
        "core/answer_builder.py",
        "    if not _may_have_run(state):",
        "    if True:",
        seed=533,
        rule="REFUSED",
    ),
    Mutant(
        "missing parts are not counted",
        "core/answer_builder.py",
        "missing=len(state.services) - len(parts),",
        "missing=0,",
        seed=295,
        rule="MIXED",
    ),
    Mutant(
        "changes that a watch brings are lost",
        "platform/reader.py",
        "values += [_make_table_value(item) for item in reply.events]",
        "continue",
        seed=6,
        rule="CONFIG",
    ),
    Mutant(
        "the order of values does not follow their numbers",
        "tables/store.py",
        "    return (revision.number, revision.digest)",
        "    return (-revision.number, revision.digest)",
        seed=533,
        rule="CONFIG",
    ),
    Mutant(
        "servers that the table takes out are called",
        "core/server.py",
        "return self._leaving_since is None and now >= self.available_at()",
        "return now >= self.available_at()",
        seed=533,
        rule="DRAIN",
    ),
    Mutant(
        "extra calls have no budget, and hedges no delay",
        "policy/hedge.py",
        "return self._sorted[int(len(self._sorted) * quantile)]",
        "return 0.0",
        seed=6,
        rule="BUDGET",
        also=Mutant("", "core/budget.py", "return sample < available", "return True"),
    ),
    Mutant(
        "attempts are not bounded",
        "core/hedging.py",
        "return sub.calls - sub.unused_calls < min(sub.query.attempts, HEDGES_MAX + 1)",
        "return True",
        seed=6,
        rule="BUDGET",
        also=Mutant(
            "",
            "core/allowances.py",
            "return shard.calls_allowed() < state.route.attempts",
            "return True",
        ),
    ),
    Mutant(
        "an entry forgets what other owners were allowed",
        "core/allowances.py",
        "return shard.calls_allowed() < state.route.attempts",
        "return True",
        "attempts",
    ),
    Mutant(
        "an owner does not ask for second calls",
        "core/owner.py",
        "if candidates and sub.calls < sub.allowed:",
        "if candidates:",
        "silent_owners",
    ),
    Mutant(
        "a question that comes twice costs two calls",
        "core/allowances.py",
        "if request.allowed >= grant.allowed and request.attempt in shard.pending_by_attempt:",
        "if request.attempt in shard.pending_by_attempt:",
        "silent_owners",
    ),
    Mutant(
        "extra calls have no budget",
        "core/budget.py",
        "        if available <= 0.0:\n            return False\n",
        "        if available <= 0.0:\n            return True\n",
        "server_choice",
    ),
    Mutant(
        "pools without a changed server are made anew",
        "platform/store_format.py",
        "    if not new_servers_by_service:\n        return pool\n",
        "",
        "table_cost",
    ),
    Mutant(
        "work goes on after the client has left",
        "platform/callers.py",
        "self._connection.set_close_callback(self.on_connection_close)",
        "pass",
        seed=6,
        rule="GONE",
    ),
    Mutant(
        "a stop cuts requests",
        "node/node.py",
        "while self.active and self._clock.monotonic() < drain_ends_at:",
        "while False:",
        seed=6,
        rule="LOST",
    ),
    Mutant(
        "an instance that failed to read the service never tries again",
        "node/replication.py",
        "await asyncio.sleep(delay * random.uniform(0.75, 1.25))",
        "await asyncio.sleep(3600)",
        seed=6,
        rule="RECOVER",
    ),
)


def is_caught(mutant: Mutant) -> bool:
    """Returns whether the mutant's feature fails."""
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder:
        copy = pathlib.Path(folder) / "copy"
        shutil.copytree(ROOT, copy, ignore=LEFT_OUT)
        _break(copy, mutant)
        if mutant.also is not None:
            _break(copy, mutant.also)
        if mutant.seed:
            return f"\n{mutant.rule}: " in _soak(mutant.seed, copy)
        command = [sys.executable, "-m", "behave", "--stop", "--format", "progress"]
        command.append(f"features/{mutant.feature}.feature")
        return subprocess.run(command, cwd=copy, capture_output=True, check=False).returncode != 0


def _break(copy: pathlib.Path, mutant: Mutant) -> None:
    """Replaces a mutant's text in a copy."""
    path = copy / "monsoonhoist" / mutant.file
    text = path.read_text(encoding="utf-8")
    if mutant.old not in text:
        raise SystemExit(f"{mutant.name}: the text to replace is not in {mutant.file}")
    path.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")


def _soak(seed: int, folder: pathlib.Path) -> str:
    """Plays a seed of the soak on a copy and returns what it printed."""
    command = [sys.executable, "-m", "soak", "--seed", str(seed)]
    command += ["--seconds", SOAK_SECONDS, "--instances", SOAK_INSTANCES]
    ended = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    return ended.stdout


def main() -> None:
    """Prints whether each mutant is caught; exits with 1 if any is not."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="part of a mutant's name")
    options = parser.parse_args()
    missed = 0
    for mutant in MUTANTS:
        if options.only in mutant.name:
            caught = is_caught(mutant)
            missed += not caught
            print(f"{'caught' if caught else 'MISSED'}: {mutant.describe()}", flush=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
