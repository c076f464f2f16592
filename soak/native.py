"""Soak of our own interface: random failures, with every answer and journal checked.

Each round brings about one or two failures, lets callers and bookings go on, and mends them.
The checks use the stand-ins' journals and indexes, not the system's word.
"""

import collections
import json
import random
import signal
import threading
import time

import msgspec

from monsoonhoist.core import data
from monsoonhoist.policy import merge
from standins import index, site

POOL = "allocator"
SHARDS = 20
KEY_SPACE = 65_536
ROUTE = "boat-search"
LIMIT = 10
ROUND_SECONDS = 1.5
# A round's failures and the calm after them.
ROUND_LENGTH_SECONDS = 3.0
CALLER_PAUSE_SECONDS = 0.01
BOOKING_PAUSE_SECONDS = 0.05
NODES = (1, 2, 3)


class Booking(msgspec.Struct):
    """One booking and the outcomes that its caller and its repeats got."""

    query: str
    outcomes: list[str] = msgspec.field(default_factory=list)


class Witness:
    """Callers and bookings, and what they saw.

    Attributes:
        outcomes: Count of each outcome.
        wrong: Descriptions of answers that break a promise.
        bookings: All bookings.
    """

    def __init__(self, deployment: site.Site, seed: int):
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.wrong: list[str] = []
        self.bookings: list[Booking] = []
        self._deployment = deployment
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._ask, args=(number,), daemon=True) for number in NODES
        ]
        chance = random.Random(f"{seed}/bookings")
        self._threads.append(threading.Thread(target=self._book, args=(chance,), daemon=True))
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the callers after their present requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _ask(self, number: int) -> None:
        asked = 0
        while not self._stopping.is_set():
            asked += 1
            query = f"question {number}/{asked}"
            try:
                answer = self._deployment.ask(number, ROUTE, query, request_id=query)
            except OSError:
                self.outcomes["no reply"] += 1
            else:
                self.outcomes[answer["outcome"]] += 1
                self.wrong.extend(faults_of(query, answer))
            time.sleep(CALLER_PAUSE_SECONDS)

    def _book(self, chance: random.Random) -> None:
        while not self._stopping.is_set():
            booking = Booking(f"boat {len(self.bookings)}")
            self.bookings.append(booking)
            try:
                ticket = self._deployment.ticket(chance.choice(NODES), "book-boat")
            except (OSError, KeyError):
                continue
            for _ in range(chance.choice((1, 2, 3))):
                self._send(booking, ticket, chance.choice(NODES))
            time.sleep(BOOKING_PAUSE_SECONDS)

    def _send(self, booking: Booking, ticket: str, number: int) -> None:
        try:
            answer = self._deployment.ask(number, "book-boat", booking.query, ticket=ticket)
            booking.outcomes.append(answer["outcome"])
        except OSError:
            booking.outcomes.append("no reply")


def faults_of(query: str, answer: dict) -> list[str]:
    """Returns what is wrong with an answer, by the indexes of the stand-ins."""
    found: list[str] = []
    if answer["outcome"] in ("answered", "partial"):
        expected = expected_results(query, answer["snapshot"], answer["coverage"]["covered"])
        if [tuple(result) for result in answer["results"]] != expected:
            found.append(f"{query}: the results are not those of the covered shards")
        whole = len(answer["coverage"]["covered"]) == SHARDS
        if whole != (answer["outcome"] == "answered"):
            found.append(f"{query}: {answer['outcome']} with wrong coverage")
        if answer["request_id"] != query:
            found.append(f"{query}: the answer belongs to {answer['request_id']}")
    return found


def expected_results(query: str, snapshot: int, covered: list[str]) -> list[tuple]:
    """Returns the best results of the covered shards in a snapshot."""
    results: list[data.Result] = []
    for service in covered:
        shard = int(service.rsplit("-", 1)[1]) - 1
        keys = index.key_range(KEY_SPACE, shard, SHARDS, snapshot)
        results.extend(index.results(service, keys, snapshot, query, LIMIT))
    return [
        (found.key, found.score, found.text)
        for found in merge.find_policy("ranked").best(tuple(results), LIMIT)
    ]


class Failures:
    """Failures that can be brought about and mended.

    Args:
        deployment: The deployment.
        chance: Source of choices.
    """

    def __init__(self, deployment: site.Site, chance: random.Random):
        self._deployment = deployment
        self._chance = chance
        self._snapshot = 1
        self.kinds = (
            self.kill,
            self.stop,
            self.lose_server,
            self.drain_server,
            self.change_snapshot,
            self.break_service,
            self.edit,
            self.silence_streams,
            self.shut_down,
        )

    def kill(self, number: int) -> None:
        """Kills an instance and starts it again."""
        name = f"node-{number}"
        self._deployment.signal(name, signal.SIGKILL)
        self._deployment.wait_exit(name)
        time.sleep(ROUND_SECONDS / 2)
        self._deployment.start_instance(number)

    def shut_down(self, number: int) -> None:
        """Lets an instance leave and starts it again."""
        name = f"node-{number}"
        self._deployment.signal(name, signal.SIGTERM)
        self._deployment.wait_exit(name)
        self._deployment.start_instance(number)

    def stop(self, number: int) -> None:
        """Stops an instance for a while."""
        self._deployment.signal(f"node-{number}", signal.SIGSTOP)
        time.sleep(self._chance.uniform(0.1, ROUND_SECONDS))
        self._deployment.signal(f"node-{number}", signal.SIGCONT)

    def lose_server(self, number: int) -> None:
        """Loses a backend server for a while."""
        server = self._chance.choice(self._deployment.servers(POOL))
        self._deployment.behave(server, lost=True)
        time.sleep(ROUND_SECONDS)
        self._deployment.behave(server, lost=False)

    def drain_server(self, number: int) -> None:
        """Lets a server of either pool refuse as leaving for a while."""
        pool = self._chance.choice((POOL, "boathouse"))
        server = self._chance.choice(self._deployment.servers(pool))
        self._deployment.behave(server, draining=True)
        time.sleep(ROUND_SECONDS)
        self._deployment.behave(server, draining=False)

    def change_snapshot(self, number: int) -> None:
        """Rolls a new snapshot out and the old one away."""
        old, self._snapshot = self._snapshot, self._snapshot + 1
        for held in ([old, self._snapshot], [self._snapshot]):
            for server in self._deployment.servers(POOL):
                self._deployment.behave(server, snapshots=held)

    def break_service(self, number: int) -> None:
        """Lets the configuration service be down, stale or rolled back for a while."""
        self._deployment.control("mode", self._chance.choice(("down", "stale", "old")))
        time.sleep(ROUND_SECONDS)
        self._deployment.control("mode", "ok")

    def edit(self, number: int) -> None:
        """Publishes an edit of the pool's table."""
        self._deployment.publish(f"pool/{POOL}", self._deployment.pool_text(POOL))

    def silence_streams(self, number: int) -> None:
        """Silences the streams to instance 3."""
        self._deployment.relay_by_name["node-3"].silence()


def run(seed: int, seconds: float) -> int:
    """Runs rounds for some time, prints what was found and returns the number of faults."""
    rounds = max(1, round(seconds / ROUND_LENGTH_SECONDS))
    chance = random.Random(seed)
    options = site.SiteOptions(pools=(POOL, "boathouse"), relayed_instances=(3,), seed=seed)
    deployment = site.Site(options)
    try:
        deployment.start()
        deployment.control("old", "")
        witness = Witness(deployment, seed)
        try:
            failures = Failures(deployment, chance)
            for number in range(rounds):
                play_round(failures, chance, number)
                deployment.wait_ready()
        finally:
            witness.stop()
        wrong = witness.wrong + wrong_bookings(deployment, witness.bookings)
        wrong += wrong_tables(deployment)
        print(f"seed {seed}: {rounds} rounds, answers {dict(witness.outcomes)}")
        booked = collections.Counter(word for b in witness.bookings for word in b.outcomes)
        print(f"{len(witness.bookings)} bookings, outcomes {dict(booked)}, {len(wrong)} faults")
        for fault in wrong[:20]:
            print(fault)
    finally:
        deployment.stop()
    return len(wrong)


def play_round(failures: Failures, chance: random.Random, number: int) -> None:
    """Brings about one failure, or two at once at different instances."""
    chosen = chance.sample(failures.kinds, chance.choice((1, 2)))
    instances = chance.sample(NODES, len(chosen))
    names = ", ".join(kind.__name__ for kind in chosen)
    print(f"round {number}: {names} at {instances}", flush=True)
    threads = [
        threading.Thread(target=kind, args=(instance,), daemon=True)
        for kind, instance in zip(chosen, instances, strict=True)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(ROUND_SECONDS)


def wrong_bookings(deployment: site.Site, bookings: list[Booking]) -> list[str]:
    """Returns bookings that ran twice, or not as their outcomes say."""
    runs: collections.Counter[str] = collections.Counter()
    for server in deployment.servers("boathouse"):
        runs.update(deployment.journal(server)["executed"])
    found = []
    for booking in bookings:
        count = runs[booking.query]
        if count > 1:
            found.append(f"{booking.query} ran {count} times: {booking.outcomes}")
        if "answered" in booking.outcomes and count != 1:
            found.append(f"{booking.query} was answered and ran {count} times")
        if booking.outcomes and set(booking.outcomes) == {"not_run"} and count:
            found.append(f"{booking.query} was said not to run and ran")
    return found


def wrong_tables(deployment: site.Site) -> list[str]:
    """Returns revisions that went back within one incarnation, by the logs."""
    found = []
    for log in sorted(deployment.folder.glob("node-*.log")):
        newest: dict[tuple[int, str], int] = {}
        for line in log.read_text(encoding="utf-8").splitlines():
            if "table value in force" not in line:
                continue
            row = json.loads(line)
            key = (row["incarnation"], row["key"])
            if row["number"] < newest.get(key, 0):
                found.append(f"{log.name}: {row['key']} went back to {row['number']}")
            newest[key] = row["number"]
    return found
