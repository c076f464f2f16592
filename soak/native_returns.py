"""Returns of the native configuration service from older copies, and the check of what follows.

Each edit of the routes adds one route and keeps those of the edits before. An instance tells
whether it has a route by issuing a ticket for it, which sends nothing to the backend servers.
"""

import json
import random
import threading
import time

import msgspec

from standins import site

# Longest time from the publication of an edit until it is in force at all instances.
IN_FORCE_MAX_SECONDS = 3.0
# Time after the return of the service, and after other faults, from which that must hold.
UNDISTURBED_SECONDS = 4.0
# Share of the rounds in which the service returns, and the share of these in which it does twice.
RETURN_SHARE = 0.6
TWICE_SHARE = 0.3
AWAY_MIN_SECONDS = 0.3
AWAY_MAX_SECONDS = 2.0
COPY_AGE_MAX_SECONDS = 2.0
# Edits that are lost by a return, at most.
LOST_EDITS_MAX = 3
REWRITE_MAX_SECONDS = 1.9
RETRY_SECONDS = 0.05
ASK_PAUSE_SECONDS = 0.1
# Pool of the routes that edits add, and the start of their names.
POOL = "allocator"
ROUTE_PREFIX = "edit-"


class Sighting(msgspec.Struct, frozen=True):
    """The newest edit that an instance had in force at a time, by the routes that it knows.

    Attributes:
        process_id: Process of the instance, which must not go back to an older edit.
        edit: Number of the edit; 0 for the routes of the example.
    """

    process_id: int
    edit: int


class Operator:
    """Publishes edits of the routes, again if they were lost, and watches what is in force.

    Args:
        deployment: The deployment.
        rng: Random number generator.
        instances: Numbers of the instances.
        has_returns: Whether the service returns at all; otherwise nothing is published or watched.

    Attributes:
        violations: Descriptions of edits that an instance has taken back.
        returned_at: Times at which the service came back, in seconds since 1970.
    """

    def __init__(
        self,
        deployment: site.Site,
        rng: random.Random,
        instances: tuple[int, ...],
        has_returns: bool,
    ):
        self.violations: list[str] = []
        self.returned_at: list[float] = []
        self._has_returns = has_returns
        self._deployment = deployment
        self._rng = rng
        self._instances = instances
        self._edit = 0
        self._published_at = 0.0
        self._returned_at = 0.0
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(number,), daemon=True)
            for number in instances
            if has_returns
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the threads that watch what is in force."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def draw_return(self) -> bool:
        """Lets the service return in some rounds, and tells whether it has."""
        if not self._has_returns or self._rng.random() >= RETURN_SHARE:
            return False
        for _ in range(2 if self._rng.random() < TWICE_SHARE else 1):
            self._return()
        time.sleep(self._rng.uniform(0.0, REWRITE_MAX_SECONDS))
        # What was lost is published again, or something newer that includes it.
        if self._rng.random() < 0.5:
            self._edit += 1
        self._publish()
        return True

    def _return(self) -> None:
        """Lets the service come back from a copy that lacks some edits."""
        self._deployment.send_control("old", "")
        for _ in range(self._rng.randint(0, LOST_EDITS_MAX)):
            self._edit += 1
            self._publish()
        time.sleep(self._rng.uniform(0.0, COPY_AGE_MAX_SECONDS))
        away_seconds = self._rng.uniform(AWAY_MIN_SECONDS, AWAY_MAX_SECONDS)
        self._deployment.send_control("return", str(away_seconds))
        self.returned_at.append(time.time())
        self._returned_at = time.monotonic()

    def _publish(self) -> None:
        """Publishes the routes with those of all edits, again and again while it is refused."""
        routes = "".join(
            f"\n[route {ROUTE_PREFIX}{number}]\nrank = normal\npool = {POOL}\ndeadline_ms = 1000\n"
            for number in range(1, self._edit + 1)
        )
        while not self._deployment.publish("routes", self._deployment.routes_text() + routes):
            time.sleep(RETRY_SECONDS)
        self._published_at = time.monotonic()

    def check_in_force(self, faults_ended_at: float) -> list[str]:
        """Waits for the bound and returns the instances that lack the newest edit."""
        undisturbed_since = max(self._returned_at, faults_ended_at)
        due_at = max(
            self._published_at + IN_FORCE_MAX_SECONDS, undisturbed_since + UNDISTURBED_SECONDS
        )
        time.sleep(max(0.0, due_at - time.monotonic()))
        if not self._edit:
            return []
        return [
            f"node-{number} does not have edit {self._edit} in force"
            f" {time.monotonic() - self._published_at:.1f} s after its publication"
            for number in self._instances
            if self._has_edit(number, self._edit) is not True
        ]

    def _has_edit(self, number: int, edit: int) -> bool | None:
        """Returns whether an instance has an edit in force; None if it does not say so."""
        url = f"{self._deployment.url(number)}/v1/ticket/{ROUTE_PREFIX}{edit}"
        try:
            reply = site.send("POST", url, "")
        except OSError:
            return None
        if "ticket" in json.loads(reply):
            return True
        return False if "no route is named" in reply else None

    def _watch(self, number: int) -> None:
        """Notes the newest edit in force at an instance, and each that its process takes back."""
        newest = Sighting(0, 0)
        while not self._stopping.wait(ASK_PAUSE_SECONDS):
            process = self._deployment.process_by_name.get(f"node-{number}")
            if process is None:
                continue
            process_id = process.pid
            if process_id != newest.process_id:
                newest = Sighting(process_id, 0)
            if newest.edit and self._has_edit(number, newest.edit) is False:
                if self._is_still(number, process_id):
                    self.violations.append(f"node-{number} took back edit {newest.edit}")
                newest = Sighting(process_id, 0)
            edit = self._edit
            if (
                edit > newest.edit
                and self._has_edit(number, edit)
                and self._is_still(number, process_id)
            ):
                newest = Sighting(process_id, edit)

    def _is_still(self, number: int, process_id: int) -> bool:
        process = self._deployment.process_by_name.get(f"node-{number}")
        return process is not None and process.pid == process_id
