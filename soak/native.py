"""Soak of the native dialect: random faults, with a check of every answer and booking.

Each round injects and removes one or two faults while callers send queries and bookings. The
checks rely on the statistics and indexes of the stand-ins, not on what the system reports.
"""

import bisect
import collections
import datetime
import json
import pathlib
import random
import signal
import threading
import time
from collections.abc import Iterator

import msgspec

from monsoonhoist.core import data
from monsoonhoist.policy import merge
from soak import native_returns
from standins import index, site

POOL = "allocator"
SHARD_COUNT = 20
KEY_SPACE = 65_536
ROUTE = "boat-search"
RESULTS_LIMIT = 10
FAULT_SECONDS = 1.5
# Length of a round: its faults and the pause after them.
ROUND_LENGTH_SECONDS = 3.0
QUERY_PAUSE_SECONDS = 0.01
BOOKING_PAUSE_SECONDS = 0.05
INSTANCES = (1, 2, 3)
# Message of the log line about table values that were accepted.
IN_FORCE_MESSAGE = "table values in force"


class RevisionInForce(msgspec.Struct, frozen=True):
    """A revision that an instance has put in force.

    Attributes:
        at: Time of the log line, in seconds since 1970.
        incarnation: Incarnation of the instance.
        key: Key of the table.
        number: Number of the revision.
    """

    at: float
    incarnation: int
    key: str
    number: int


class Booking(msgspec.Struct):
    """A booking and the outcome of each request that sent it."""

    query: str
    outcomes: list[str] = msgspec.field(default_factory=list)


class Workload:
    """Threads that send queries and bookings, and the outcomes that they record.

    Args:
        deployment: The deployment.
        seed: Seed of the bookings.

    Attributes:
        outcomes: Count of each outcome.
        violations: Descriptions of wrong answers to queries.
        bookings: All bookings.
    """

    def __init__(self, deployment: site.Site, seed: int):
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.bookings: list[Booking] = []
        self._deployment = deployment
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_queries, args=(number,), daemon=True)
            for number in INSTANCES
        ]
        rng = random.Random(f"{seed}/bookings")
        self._threads.append(threading.Thread(target=self._send_bookings, args=(rng,), daemon=True))
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the threads after their current requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _send_queries(self, number: int) -> None:
        count = 0
        while not self._stopping.is_set():
            count += 1
            query = f"question {number}/{count}"
            try:
                answer = self._deployment.send_query(number, ROUTE, query, request_id=query)
            except OSError:
                self.outcomes["no reply"] += 1
            else:
                self.outcomes[answer["outcome"]] += 1
                self.violations.extend(check_answer(query, answer))
            time.sleep(QUERY_PAUSE_SECONDS)

    def _send_bookings(self, rng: random.Random) -> None:
        while not self._stopping.is_set():
            booking = Booking(f"boat {len(self.bookings)}")
            self.bookings.append(booking)
            try:
                ticket = self._deployment.request_ticket(rng.choice(INSTANCES), "book-boat")
            except (OSError, KeyError):
                continue
            for _ in range(rng.choice((1, 2, 3))):
                self._send_booking(booking, ticket, rng.choice(INSTANCES))
            time.sleep(BOOKING_PAUSE_SECONDS)

    def _send_booking(self, booking: Booking, ticket: str, number: int) -> None:
        try:
            answer = self._deployment.send_query(number, "book-boat", booking.query, ticket=ticket)
            booking.outcomes.append(answer["outcome"])
        except OSError:
            booking.outcomes.append("no reply")


def check_answer(query: str, answer: dict) -> list[str]:
    """Returns what is wrong with an answer, compared with the indexes of the stand-ins."""
    errors: list[str] = []
    if answer["outcome"] in ("answered", "partial"):
        expected = expected_results(query, answer["snapshot"], answer["coverage"]["covered"])
        if [tuple(result) for result in answer["results"]] != expected:
            errors.append(f"{query}: the results differ from those of the covered shards")
        is_complete = len(answer["coverage"]["covered"]) == SHARD_COUNT
        if is_complete != (answer["outcome"] == "answered"):
            errors.append(f"{query}: {answer['outcome']} with the coverage {answer['coverage']}")
        if answer["request_id"] != query:
            errors.append(f"{query}: the answer belongs to {answer['request_id']}")
    return errors


def expected_results(query: str, snapshot: int, covered: list[str]) -> list[tuple]:
    """Returns the best results of the covered shards in a snapshot, from the indexes."""
    results: list[data.Result] = []
    for service in covered:
        shard = int(service.rsplit("-", 1)[1]) - 1
        keys = index.key_range(KEY_SPACE, shard, SHARD_COUNT, snapshot)
        results.extend(index.results(service, keys, snapshot, query, RESULTS_LIMIT))
    return [
        (result.key, result.score, result.text)
        for result in merge.find_policy("ranked").best(tuple(results), RESULTS_LIMIT)
    ]


class FaultInjector:
    """Injects faults into a deployment; a method whose fault would last also ends it.

    Args:
        deployment: The deployment.
        rng: Random number generator.

    Attributes:
        faults: Methods that inject a fault; each takes the number of an instance, which those
            that affect no single instance do not use.
    """

    def __init__(self, deployment: site.Site, rng: random.Random):
        self._deployment = deployment
        self._rng = rng
        self._snapshot = 1
        self.faults = (
            self.kill,
            self.suspend,
            self.hang_server,
            self.drain_server,
            self.change_snapshot,
            self.break_config_service,
            self.publish_edit,
            self.silence_streams,
            self.shut_down,
        )

    def wait_ready(self) -> None:
        """Waits until all instances are ready."""
        self._deployment.wait_ready()

    def kill(self, number: int) -> None:
        """Kills an instance and restarts it after a pause."""
        name = f"node-{number}"
        self._deployment.signal(name, signal.SIGKILL)
        self._deployment.wait_exit(name)
        time.sleep(FAULT_SECONDS / 2)
        self._deployment.start_instance(number)

    def shut_down(self, number: int) -> None:
        """Stops an instance gracefully and restarts it."""
        name = f"node-{number}"
        self._deployment.signal(name, signal.SIGTERM)
        self._deployment.wait_exit(name)
        self._deployment.start_instance(number)

    def suspend(self, number: int) -> None:
        """Suspends an instance for a random time."""
        self._deployment.signal(f"node-{number}", signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.1, FAULT_SECONDS))
        self._deployment.signal(f"node-{number}", signal.SIGCONT)

    def hang_server(self, number: int) -> None:
        """Makes a backend server accept calls without answering them."""
        server = self._rng.choice(self._deployment.servers(POOL))
        self._deployment.set_behaviour(server, lost=True)
        time.sleep(FAULT_SECONDS)
        self._deployment.set_behaviour(server, lost=False)

    def drain_server(self, number: int) -> None:
        """Makes a server of either pool refuse calls because it is draining."""
        pool = self._rng.choice((POOL, "boathouse"))
        server = self._rng.choice(self._deployment.servers(pool))
        self._deployment.set_behaviour(server, draining=True)
        time.sleep(FAULT_SECONDS)
        self._deployment.set_behaviour(server, draining=False)

    def change_snapshot(self, number: int) -> None:
        """Adds a new snapshot to all servers, then removes the old one."""
        old, self._snapshot = self._snapshot, self._snapshot + 1
        for snapshots in ([old, self._snapshot], [self._snapshot]):
            for server in self._deployment.servers(POOL):
                self._deployment.set_behaviour(server, snapshots=snapshots)

    def break_config_service(self, number: int) -> None:
        """Makes the configuration service fail, hide new values or serve those of the start."""
        self._deployment.send_control("mode", self._rng.choice(("down", "stale", "old")))
        time.sleep(FAULT_SECONDS)
        self._deployment.send_control("mode", "ok")

    def publish_edit(self, number: int) -> None:
        """Publishes a new revision of the pool's table."""
        self._deployment.publish(f"pool/{POOL}", self._deployment.pool_text(POOL))

    def silence_streams(self, number: int) -> None:
        """Discards the data of the open streams to instance 3, the only one behind a relay."""
        self._deployment.relay_by_name["node-3"].silence()


def run(seed: int, seconds: float, has_returns: bool = False) -> int:
    """Runs rounds for a time, prints the first violations and returns the number of all.

    Args:
        seed: Seed of the run.
        seconds: Length of the run in seconds; the checks after returns come on top of it.
        has_returns: Whether the configuration service also returns from older copies. Returns are
            drawn from a random stream of their own.
    """
    rounds = max(1, round(seconds / ROUND_LENGTH_SECONDS))
    rng = random.Random(seed)
    options = site.SiteOptions(pools=(POOL, "boathouse"), relayed_instances=(3,), seed=seed)
    deployment = site.Site(options)
    try:
        deployment.start()
        # The mode ``old`` of the configuration service will serve the state saved here.
        deployment.send_control("old", "")
        workload = Workload(deployment, seed)
        operator = native_returns.Operator(
            deployment, random.Random(f"{seed}/returns"), INSTANCES, has_returns
        )
        violations: list[str] = []
        try:
            injector = FaultInjector(deployment, rng)
            for number in range(rounds):
                violations += run_round(injector, operator, rng, number)
        finally:
            workload.stop()
            operator.stop()
        violations += workload.violations + operator.violations
        violations += check_bookings(deployment, workload.bookings)
        violations += check_tables(deployment, operator.returned_at)
        print(f"seed {seed}: {rounds} rounds, answers {dict(workload.outcomes)}")
        outcomes = collections.Counter(
            outcome for booking in workload.bookings for outcome in booking.outcomes
        )
        print(
            f"{len(workload.bookings)} bookings, outcomes {dict(outcomes)},"
            f" {len(violations)} violations"
        )
        for violation in violations[:20]:
            print(violation)
    finally:
        deployment.stop()
    return len(violations)


def run_round(
    injector: FaultInjector, operator: native_returns.Operator, rng: random.Random, number: int
) -> list[str]:
    """Injects one fault, or two at the same time at different instances, and perhaps a return.

    Returns:
        What is not in force after the return, when all instances are ready again.
    """
    chosen = rng.sample(injector.faults, rng.choice((1, 2)))
    instances = rng.sample(INSTANCES, len(chosen))
    names = ", ".join(fault.__name__ for fault in chosen)
    print(f"round {number}: {names} at {instances}", flush=True)
    threads = [
        threading.Thread(target=fault, args=(instance,), daemon=True)
        for fault, instance in zip(chosen, instances, strict=True)
    ]
    for thread in threads:
        thread.start()
    has_returned = operator.draw_return()
    for thread in threads:
        thread.join()
    faults_ended_at = time.monotonic()
    time.sleep(FAULT_SECONDS)
    injector.wait_ready()
    return operator.check_in_force(faults_ended_at) if has_returned else []


def check_bookings(deployment: site.Site, bookings: list[Booking]) -> list[str]:
    """Returns the bookings that ran twice or whose outcomes are wrong."""
    runs: collections.Counter[str] = collections.Counter()
    for server in deployment.servers("boathouse"):
        runs.update(deployment.server_statistics(server)["executed"])
    violations = []
    for booking in bookings:
        count = runs[booking.query]
        if count > 1:
            violations.append(f"{booking.query} ran {count} times: {booking.outcomes}")
        if "answered" in booking.outcomes and count != 1:
            violations.append(f"{booking.query} was answered but ran {count} times")
        if booking.outcomes and set(booking.outcomes) == {"not_run"} and count:
            violations.append(f"{booking.query} was reported as not run but ran")
    return violations


def check_tables(deployment: site.Site, returned_at: list[float]) -> list[str]:
    """Returns the tables rolled back within one incarnation, according to the logs.

    Numbers are given out again after a return of the configuration service, so that they are
    compared between two returns only; ``native_returns.Operator`` watches what is in force.

    Args:
        deployment: The deployment.
        returned_at: Times at which the service came back, in seconds since 1970.
    """
    violations = []
    for log in sorted(deployment.folder.glob("node-*.log")):
        number_by_key: dict[tuple[int, int, str], int] = {}
        revisions = list(read_revisions_in_force(log))
        if not revisions:
            violations.append(f"{log.name} has no line about table values in force")
        for revision in revisions:
            returns = bisect.bisect(returned_at, revision.at)
            key = (returns, revision.incarnation, revision.key)
            if revision.number < number_by_key.get(key, 0):
                violations.append(
                    f"{log.name}: {revision.key} was rolled back to {revision.number}"
                )
            number_by_key[key] = revision.number
    return violations


def read_revisions_in_force(log: pathlib.Path) -> Iterator[RevisionInForce]:
    """Yields the revisions that an instance has put in force, as far as its log lists them."""
    for line in log.read_text(encoding="utf-8").splitlines():
        if IN_FORCE_MESSAGE not in line:
            continue
        row = json.loads(line)
        at = datetime.datetime.fromisoformat(row["time"]).timestamp()
        for key, number in zip(row["keys"], row["numbers"], strict=True):
            yield RevisionInForce(at, row["incarnation"], key, number)
