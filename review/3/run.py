"""Another writer's odd, long item lies in the store; machines keep an old configuration.

The instances that read the store lose power at once, and the configuration changes before they are
back. ``TROUBLE=power`` does this without the odd item, and ``TROUBLE=0`` changes the configuration
only. With ``FIRST_START=1`` the item precedes the first start and nothing is killed; the result is
then whether all instances become ready.
"""

import json
import os
import signal
import sys
import time

from review import callers, deployment
from standins import fleet, site

# As many instances as the deployment ``bootplan`` has machines, the spare ones included.
INSTANCES = 9
# The store takes values of at most 1,048,576 bytes (``ValueBytes``).
ITEM_BYTES = 1_030_000
ODD_KEY = "servers/odd"
SETTLE_SECONDS = 5.0
# Time in which the instances that watch the store read the odd item.
READ_SECONDS = 1.0
# ``herd_kill`` with ``power`` of the site file: at most this share of the machines, for this time.
# A process that stands still answers nothing, like a machine without power; its later end resets
# its connections, like the machine's next start.
KILLED_SHARE_MAX = 0.55
DOWN_SECONDS = 2.0
CHANGE_AFTER_LOSS_SECONDS = 0.5
CONFIG_SECONDS = 3.0
ASK_SECONDS = 20.0
ASK_INTERVAL_SECONDS = 0.5
# Refusals with 404 that ``DENIED`` allows at machines in touch, besides one in 500 requests.
DENIED_MAX = 5


def write_odd_item(fleet_run: deployment.Deployment) -> None:
    """Writes an item among those of the backend servers that is none."""
    item = json.dumps({"Seq": 1, "Notes": "x" * ITEM_BYTES}).encode()
    fleet_run.call_in_thread(lambda: fleet_run.store.put(ODD_KEY, item))


def find_readers(fleet_run: deployment.Deployment) -> list[int]:
    """Returns the instances that have read the store last, by their logs, latest first."""
    read_at = {}
    for number in range(1, INSTANCES + 1):
        for line in fleet_run.log(number):
            if line["message"] == "table values in force" and line["source"] == "service":
                read_at[number] = line["time"]
    latest_first = sorted(read_at, key=read_at.get, reverse=True)
    return latest_first[: int(INSTANCES * KILLED_SHARE_MAX)]


def play(fleet_run: deployment.Deployment, record: deployment.Record) -> bool:
    """Cuts the power of the readers and adds a route; returns whether ``CONFIG`` was broken."""
    trouble = os.environ.get("TROUBLE", "1")
    time.sleep(SETTLE_SECONDS)
    if trouble not in ("0", "power"):
        write_odd_item(fleet_run)
        record.write(f"the store confirms the item {ODD_KEY} of {ITEM_BYTES} bytes")
    time.sleep(READ_SECONDS)
    victims = find_readers(fleet_run) if trouble != "0" else []
    for number in victims:
        fleet_run.process_by_number[number].send_signal(signal.SIGSTOP)
    record.write(f"without power from now on: {victims}")
    time.sleep(CHANGE_AFTER_LOSS_SECONDS)
    route = fleet.make_plain_route("added", "/added/", "idempotent")
    version = fleet_run.publish(extra=(route,))
    confirmed_at = time.monotonic()
    record.write(f"the store confirms configuration {version} with the route /added/")
    time.sleep(DOWN_SECONDS - CHANGE_AFTER_LOSS_SECONDS)
    deployment.VALUE_BY_PLACEHOLDER["Bootstrap"] = "false"
    for number in victims:
        fleet_run.process_by_number[number].send_signal(signal.SIGKILL)
        fleet_run.process_by_number[number].wait()
        fleet_run.start_instance(number)
    record.write(f"with power again, and started: {victims}")
    time.sleep(CONFIG_SECONDS)
    record_tables(fleet_run, record)
    in_touch = [number for number in range(1, INSTANCES + 1) if number not in victims]
    return is_denied(in_touch, confirmed_at, record)


def is_denied(in_touch: list[int], confirmed_at: float, record: deployment.Record) -> bool:
    """Asks the instances that nothing has happened to for the new route, for a while."""
    denied = sent = 0
    while (elapsed := time.monotonic() - confirmed_at) < CONFIG_SECONDS + ASK_SECONDS:
        statuses = [ask(number, f"q-{sent}-{number}") for number in in_touch]
        sent += len(statuses)
        denied += statuses.count(404)
        record.write(f"{elapsed:.2f} s after the confirmation, {in_touch} answer {statuses}")
        time.sleep(ASK_INTERVAL_SECONDS)
    record.write(f"{denied} of {sent} requests were refused with 404 though the route is there")
    return denied > DENIED_MAX + sent / 500


def record_tables(fleet_run: deployment.Deployment, record: deployment.Record) -> None:
    """Records which values each instance has put in force, and where they came from."""
    for number in range(1, INSTANCES + 1):
        for line in fleet_run.log(number):
            if line["message"] == "table values in force":
                fields = (line["time"], line["source"], line["count"], line["keys"])
                record.write(f"instance {number}: values in force {fields}")


def ask(instance: int, request_id: str) -> int:
    """Sends a request on the new route to an instance and returns the status of the answer."""
    connection = callers.Connection(instance)
    try:
        return connection.exchange("GET", "/added/x", request_id, 1000, 2.0).status
    finally:
        connection.close()


def prepare_first_start(fleet_run: deployment.Deployment) -> None:
    """Makes the odd item precede the first configuration and the start of the instances."""
    publish = fleet_run.publish

    def publish_with_item() -> None:
        if deployment.is_troubled():
            write_odd_item(fleet_run)
        publish()

    fleet_run.publish = publish_with_item
    fleet_run.wait_ready = lambda: None


def play_first_start(fleet_run: deployment.Deployment, record: deployment.Record) -> bool:
    """Waits; returns whether an instance is still not ready, and so refuses all requests."""
    for _ in range(4):
        time.sleep(15.0)
        ready = [fleet_run.is_ready(number) for number in range(1, INSTANCES + 1)]
        record.write(f"ready: {ready}")
    return not all(ready)


if __name__ == "__main__":
    run = deployment.Deployment(INSTANCES)
    site.TIMEOUT_SECONDS = 60.0
    if os.environ.get("FIRST_START", "0") == "0":
        deployment.run_case(__file__, run, play)
    deployment.run_case(__file__, run, play_first_start, prepare_first_start)
    sys.exit(deployment.EXIT_NOT_RUN)
