"""Measures how long a confirmed change takes to come into force at the instances of a deployment.

A change is a configuration with a further route, written together with a server's item that says
that the server is leaving.
"""

import contextlib
import functools
import http.client
import json
import signal
import subprocess
import threading
import time
from collections.abc import Iterable, Iterator

import msgspec

from monsoonhoist.core import data
from monsoonhoist.fleet import membership
from monsoonhoist.platform import wire_names
from soak import plan, proxied_fleet, proxy
from standins import fleet, site

# Longest time from the store's confirmation until a change is in force.
CHANGE_BOUND_SECONDS = 3.0
# Time without disturbances after which the bound holds for an instance.
STABILITY_SECONDS = 4.0
# How long a change is waited for, beyond its bound.
MEASURE_SECONDS = 8.0
POLL_SECONDS = 0.02
POLL_TIMEOUT_SECONDS = 1.0
# Time in which the watchers have read an earlier change, and not yet waited for the next one.
JUST_READ_SECONDS = 0.06
# Time in which the watchers have read an earlier change and wait for the next one again.
WAITING_SECONDS = 0.15
# Interval of the writes that keep the tables changing, and number of the items that they change.
WRITE_INTERVAL_SECONDS = 0.01
WRITTEN_ITEMS = 60
LEAVING_SERVER = f"{fleet.PLAIN_SERVICE}-a"
VALUES_TAG = b"\xa6tables"


class Delays(msgspec.Struct):
    """Time from the confirmation of a change until it is in force at an instance, in seconds.

    Attributes:
        route: Until a request to the new route is served; infinite if it never was.
        server: Until the instance has the server's item; infinite if it never had.
    """

    route: float = float("inf")
    server: float = float("inf")

    def worst(self) -> float:
        """Returns the longer of the two times."""
        return max(self.route, self.server)


class BoundsFleet(proxied_fleet.ProxiedFleet):
    """A deployment whose links to the store and between instances can be disturbed.

    Args:
        instances: Number of instances.
        zones: Number of availability zones, to which the instances belong in turn.
    """

    def __init__(self, instances: int, zones: int):
        super().__init__(plan.Plan(0, 0.0, instances, 0, ()))
        self._zones = zones

    def zone_of(self, number: int) -> str:
        """Returns the availability zone of an instance."""
        return f"z{(number - 1) % self._zones + 1}"

    def settings_of(self, number: int) -> str:
        """Returns the settings of an instance, with its availability zone."""
        text = super().settings_of(number)
        return text.replace(f"zone = z{number}\n", f"zone = {self.zone_of(number)}\n")

    def watch_order(self) -> list[int]:
        """Returns the numbers of the instances in the order in which they watch the store."""
        position_by_number = {
            number: self._view_of(number).watch_position()
            for number in range(1, self.instances + 1)
        }
        return sorted(position_by_number, key=position_by_number.__getitem__)

    def _view_of(self, number: int) -> membership.Membership:
        """Returns the view of an instance that knows all others."""
        view = membership.Membership(self._member(number))
        view.merge(self._member(other) for other in range(1, self.instances + 1))
        return view

    def _member(self, number: int) -> data.Member:
        host = f"127.0.1.{number}"
        zone = data.ZoneId(self.zone_of(number))
        return data.Member(
            data.InstanceId(host),
            data.Incarnation(1),
            0,
            data.MemberState.LIVE,
            host,
            fleet.PEER_PORT,
            zone,
        )

    def disturb_store_links(self, numbers: Iterable[int], how: str, hold: float = 0.0) -> None:
        """Disturbs the links of instances to the store; see ``proxy.Proxy.inject_fault``.

        With ``cut``, open connections fall silent and new ones are not answered.
        """
        self.call_in_thread(lambda: self._disturb(tuple(numbers), how, hold))

    def _disturb(self, numbers: tuple[int, ...], how: str, hold: float) -> None:
        for number in numbers:
            link = self._store_proxy_by_instance[number]
            link.hold_seconds = hold
            if how == "cut":
                link.inject_fault("silence", proxy.ANY_SOURCE)
            link.inject_fault("one_way" if how == "cut" else how, proxy.ANY_SOURCE)

    def reset_streams(self, number: int) -> None:
        """Resets the streams that other instances have opened to an instance."""
        peer_proxy = self._peer_proxy_by_instance[number]
        self.call_in_thread(lambda: peer_proxy.inject_fault("reset", proxy.ANY_SOURCE))

    def kill_sender_of_value(self, receiver: int, key: str) -> list[int]:
        """Kills the first instance that sends a value to another one; the value is lost.

        Returns:
            A list to which the number of the killed instance is added.
        """
        killed: list[int] = []

        def is_discarded(chunk: bytes, source: int) -> bool:
            is_value = VALUES_TAG in chunk and key.encode() in chunk.partition(VALUES_TAG)[2]
            if is_value and not killed and source != proxy.ANY_SOURCE:
                self.process_by_number[source].kill()
                killed.append(source)
            return source in killed

        self._peer_proxy_by_instance[receiver].is_discarded = is_discarded
        return killed

    def write_unrelated_item(self, key: str = "other/read") -> None:
        """Writes an item that belongs to no table, which the watchers read."""
        self.call_in_thread(lambda: self.store.put(key, b"{}"))

    def number_at(self, number: int, key: str) -> int:
        """Returns the revision number of a key at an instance; 0 if it has none or is silent."""
        url = f"http://127.0.1.{number}:{fleet.CONTROL_PORT}/v1/status"
        rows = json.loads(site.fetch(url) or "{}").get("keys", ())
        return next((row["number"] for row in rows if row["key"] == key), 0)


class Measurement:
    """A change and the time that it takes to come into force at some instances.

    Args:
        deployment: The deployment.
        numbers: Instances at which the change is measured.

    Attributes:
        delays_by_number: Times by instance.
        last_use: Time from the confirmation until the leaving server last received a request.
    """

    def __init__(self, deployment: BoundsFleet, numbers: Iterable[int]):
        self.delays_by_number = {number: Delays() for number in numbers}
        self.last_use = 0.0
        self._deployment = deployment
        self._confirmed_at = 0.0
        self._revision = 0
        self._target = ""

    def publish(self) -> None:
        """Writes the change to the store."""
        number = len(self._deployment.versions)
        self._target = f"/v{number}/x"
        self._deployment.set_state(LEAVING_SERVER, "draining")
        # The confirmation of the first of two writes, so that no time is taken as too short.
        self._confirmed_at = time.monotonic()
        self._deployment.publish_next()
        item = self._deployment.store.item_by_key[f"servers/{LEAVING_SERVER}"]
        self._revision = item["Rev"]

    def wait(self) -> None:
        """Waits until the change is in force at all instances, or for ``MEASURE_SECONDS``."""
        threads = [
            threading.Thread(target=self._poll, args=(number,)) for number in self.delays_by_number
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        # Of the requests that callers go on sending, none may reach the server any more.
        ends_at = max(self._confirmed_at + CHANGE_BOUND_SECONDS, time.monotonic()) + 0.5
        while time.monotonic() < ends_at:
            for number in self.delays_by_number:
                self._send(number, "/record/x")
            time.sleep(POLL_SECONDS)
        server = self._deployment.server_by_name[LEAVING_SERVER]
        received = [request.received_at for request in list(server.received_requests)]
        self.last_use = max(received, default=self._confirmed_at) - self._confirmed_at

    def _poll(self, number: int) -> None:
        """Polls an instance until both parts of the change are in force."""
        delays = self.delays_by_number[number]
        process = self._deployment.process_by_number[number]
        ends_at = self._confirmed_at + MEASURE_SECONDS
        while time.monotonic() < ends_at and delays.worst() == float("inf"):
            if process.poll() is not None:
                return
            sent_at = time.monotonic()
            if delays.route == float("inf") and self._send(number, self._target) == 200:
                delays.route = max(0.0, sent_at - self._confirmed_at)
            sent_at = time.monotonic()
            key = f"servers/{LEAVING_SERVER}"
            is_new = delays.server == float("inf")
            if is_new and self._deployment.number_at(number, key) >= self._revision:
                delays.server = max(0.0, sent_at - self._confirmed_at)
            self._send(number, "/record/x")
            time.sleep(POLL_SECONDS)

    def _send(self, number: int, target: str) -> int:
        """Sends a request and returns the status; 0 if there was no answer."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            return self._deployment.send_request(
                number, target, request_id=f"bounds-{number}", deadline_ms=1000
            ).status
        return 0

    def describe(self) -> str:
        """Returns the measured times, one line for each instance."""
        lines = [
            f"instance {number}: route {delays.route:.2f} s, server {delays.server:.2f} s"
            for number, delays in self.delays_by_number.items()
        ]
        lines.append(f"last request at the leaving server: {self.last_use:.2f} s")
        return "\n".join([*lines, f"logs in {self._deployment.folder}"])


@contextlib.contextmanager
def changing_tables(deployment: BoundsFleet) -> Iterator[None]:
    """Writes server items one after another, each of which changes the tables."""
    stopping = threading.Event()

    def write() -> None:
        count = 0
        while not stopping.wait(WRITE_INTERVAL_SECONDS):
            count += 1
            item = {
                "Service": fleet.SPARE_SHARDS[0],
                "Addr": f"{fleet.SERVER_HOST}:{fleet.SERVER_PORT_BASE - 1}",
                "Zone": "z1",
                "Version": "v1",
                "Slots": fleet.SLOTS,
                "State": "draining",
                "WarmupLeftMs": count,
                "Seq": count,
                "born": 1,
            }
            key = f"{wire_names.SERVER_KEY_PREFIX}w-{count % WRITTEN_ITEMS}"
            put = functools.partial(deployment.store.put, key, json.dumps(item).encode())
            deployment.call_in_thread(put)

    thread = threading.Thread(target=write)
    thread.start()
    try:
        yield
    finally:
        stopping.set()
        thread.join()


@contextlib.contextmanager
def held_up(
    deployment: BoundsFleet,
    numbers: Iterable[int],
    stop: float,
    run: float,
    is_staggered: bool = False,
) -> Iterator[None]:
    """Stops the processes of instances again and again.

    Args:
        deployment: The deployment.
        numbers: The instances.
        stop: How long they are stopped each time, in seconds.
        run: How long they run in between, in seconds.
        is_staggered: Whether they are stopped one after another instead of at the same times.
    """
    ending = threading.Event()

    def alternate(process: subprocess.Popen, phase: float) -> None:
        ending.wait(phase)
        while not ending.is_set():
            process.send_signal(signal.SIGSTOP)
            ending.wait(stop)
            process.send_signal(signal.SIGCONT)
            ending.wait(run)

    processes = [deployment.process_by_number[number] for number in numbers]
    stagger = (stop + run) / len(processes) if is_staggered else 0.0
    threads = [
        threading.Thread(target=alternate, args=(process, index * stagger))
        for index, process in enumerate(processes)
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        ending.set()
        for thread in threads:
            thread.join()
