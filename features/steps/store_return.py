"""Steps in which the store is away and comes back from a copy of an earlier moment."""

import json
import threading
import time
from concurrent import futures

import msgspec
from behave import given, then, when

from features.steps import platform_actions
from standins import fleet, shards, site

# Longest time from the store's acknowledgement until a change is in force at all instances.
IN_FORCE_SECONDS = 3.0
# Time after a return within which what is missing from the copy may be written again.
REWRITE_SECONDS = 2.0
PROBE_PAUSE_SECONDS = 0.05
# Requests that are sent to an instance at once to show which servers are in use, and the time that
# a server takes for each: more than the slots of a server.
BURST_REQUESTS = 12
BURST_WORK_SECONDS = 0.1
# Time within which a range is listed again whose history is gone.
LISTED_SECONDS = 2.0
NEW_SERVER_PORT = fleet.SERVER_PORT_BASE + 50


class ProbeResult(msgspec.Struct, frozen=True):
    """The answer to a probe.

    Attributes:
        instance: Number of the instance.
        sent_at: When the probe was sent, in monotonic seconds.
        status: Status of the answer; 0 if there was none.
        server: Server that answered; empty if none did.
    """

    instance: int
    sent_at: float
    status: int
    server: str


class Prober:
    """Sends the same request to all instances again and again, each from a thread of its own.

    Args:
        deployment: The deployment.
        target: Path of the requests.
        instances: Numbers of the instances.

    Attributes:
        results: Answers so far.
    """

    def __init__(self, deployment: fleet.Fleet, target: str, instances: range):
        self.results: list[ProbeResult] = []
        self._deployment = deployment
        self._target = target
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True) for number in instances
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[ProbeResult]:
        """Ends the threads and returns all answers, in order of sending."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return sorted(self.results, key=lambda result: result.sent_at)

    def _run(self, number: int) -> None:
        while not self._stopping.wait(PROBE_PAUSE_SECONDS):
            sent_at = time.monotonic()
            request_id = platform_actions.next_request_id()
            try:
                reply = self._deployment.send_request(number, self._target, request_id=request_id)
            except OSError:
                self.results.append(ProbeResult(number, sent_at, 0, ""))
                continue
            server = (reply.headers["X-Server-Stamp"] or "").split(".")[0]
            self.results.append(ProbeResult(number, sent_at, reply.status, server))


def all_instances(context):
    """Returns the numbers of all instances."""
    return range(1, context.fleet.instances + 1)


def make_route(prefix):
    """Returns a further route, named after its prefix, to the servers of plain requests."""
    return fleet.make_plain_route(f"route {prefix}", prefix, "idempotent")


def servers_used(context):
    """Returns the servers that receive plain requests, in bursts that one server cannot hold."""
    context.request_ids.clear()
    for server in context.fleet.server_by_name.values():
        server.behaviour.work_seconds = BURST_WORK_SECONDS
    for number in all_instances(context):
        request_ids = [platform_actions.next_request_id() for _ in range(BURST_REQUESTS)]
        context.request_ids.extend(request_ids)
        with futures.ThreadPoolExecutor(BURST_REQUESTS) as executor:
            for request_id in request_ids:
                executor.submit(
                    context.fleet.send_request, number, "/record/x", request_id=request_id
                )
    return {
        name
        for name in context.fleet.server_by_name
        if platform_actions.requests_received(context, name)
    }


def sleep_until(moment):
    """Waits until a moment of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))


@given("the store states no era")
def state_no_era(context):
    """Lets the store leave the era out of its replies."""
    context.fleet.store.is_era_stated = False


@given("the store's state is copied")
def copy_state(context):
    """Notes the revision to which the store will return."""
    context.copied_revision = context.fleet.store.revision


@given("{count:d} items of other writers are written")
def write_other_items(context, count):
    """Raises the store's revision by items that are no part of the tables."""

    def put_items():
        for number in range(count):
            context.fleet.store.put(f"other/{number}", b"x")

    context.fleet.call_in_thread(put_items)


@given('the configuration with the routes "{prefixes}" is written')
@when('the configuration with the routes "{prefixes}" is written')
def write_configuration(context, prefixes):
    """Publishes a configuration with further routes, in a newer version."""
    extra = tuple(make_route(prefix) for prefix in prefixes.split(", "))
    context.fleet.publish(extra=extra)
    context.acknowledged_at = time.monotonic()


@when('the configuration with the routes "{prefixes}" is written below the lost revision')
def write_configuration_below(context, prefixes):
    """Publishes a newer configuration, whose revision must be below that of the lost one."""
    write_configuration(context, prefixes)
    revision = context.fleet.store.item_by_key["op/config"]["Rev"]
    assert revision < context.lost_revision, (revision, context.lost_revision)


@given('the server "{name}" is registered with the state "{state}"')
@when('the server "{name}" is registered with the state "{state}"')
def register_server(context, name, state):
    """Writes a server's item, or removes it if the state is "removed"."""
    context.fleet.set_state(name, state)
    context.acknowledged_at = time.monotonic()


@when('a new server "{name}" is started and registered')
def start_server(context, name):
    """Starts a further server of plain requests and writes its item."""
    server = shards.ShardServer(name, fleet.SERVER_HOST, NEW_SERVER_PORT, fleet.SLOTS)
    context.fleet.run_in_thread(server.start())
    context.fleet.add_server(server, fleet.PLAIN_SERVICE)
    context.acknowledged_at = time.monotonic()


@when('the server "{name}" writes its item {count:d} times more')
def write_item_again(context, name, count):
    """Writes a server's item several times, each time with a higher number."""
    for _ in range(count):
        context.fleet.set_state(name, "ready")
    context.acknowledged_at = time.monotonic()


@when("{seconds:g} s have passed since the writing")
def wait_since_writing(context, seconds):
    """Waits until a time after the latest acknowledgement of the store."""
    sleep_until(context.acknowledged_at + seconds)


@given('the zone "{zone}" is evacuated in the store')
@when('the zone "{zone}" is evacuated in the store')
def evacuate_zone(context, zone):
    """Writes the key of an evacuation."""
    platform_actions.evacuate_zone(context, zone)
    context.acknowledged_at = time.monotonic()


@given('the evacuation of the zone "{zone}" is removed from the store')
@when('the evacuation of the zone "{zone}" is removed from the store')
def put_zone_back(context, zone):
    """Removes the key of an evacuation."""
    platform_actions.put_zone_back(context, zone)
    context.acknowledged_at = time.monotonic()


@when("the store is away for {seconds:g} s and returns from the copy")
def return_store(context, seconds):
    """Lets the store come back from the copy, and waits until it has."""
    returning = context.fleet.store
    context.lost_revision = returning.revision
    assert context.copied_revision < context.lost_revision, context.copied_revision
    context.fleet.call_in_thread(
        lambda: returning.return_from_copy(context.copied_revision, seconds)
    )
    site.wait_until(lambda: not returning.is_away, "the store is away")
    context.returned_at = time.monotonic()
    assert returning.revision == context.copied_revision, returning.revision


@when("the store is away for {seconds:g} s without losing anything")
def leave_store(context, seconds):
    """Lets the store refuse requests for a while, and come back as it was."""
    platform_actions.set_store_fault(context, "refuse", int(seconds * 1000))


@when("{seconds:g} s have passed since the return")
def wait_since_return(context, seconds):
    """Waits until a time after the return of the store."""
    sleep_until(context.returned_at + seconds)


@when("a change is written whose history is discarded at once, so that the ranges are listed again")
def discard_change(context):
    """Discards a change before any watch receives it, and waits until the ranges were listed."""

    def put_and_discard():
        context.fleet.store.put("other/unseen", b"x")
        context.fleet.store.discard_history()

    context.fleet.call_in_thread(put_and_discard)
    time.sleep(LISTED_SECONDS)


@when("instance {number:d} is killed and started again")
def restart_instance(context, number):
    """Kills an instance, starts it again and waits until it is ready."""
    process = context.fleet.process_by_number[number]
    process.kill()
    process.wait()
    context.fleet.start_instance(number)
    context.fleet.wait_ready()


@given('"{target}" is requested all the while')
@when('"{target}" is requested all the while')
def start_prober(context, target):
    """Starts requests to all instances, which the steps about the meantime check."""
    context.prober = Prober(context.fleet, target, all_instances(context))
    context.add_cleanup(context.prober.stop)


@then("meanwhile all statuses were {status:d}")
def check_probe_statuses(context, status):
    """Ends the requests and checks that all were answered with the status."""
    results = context.prober.stop()
    instances = {result.instance for result in results}
    assert instances == set(all_instances(context)), instances
    others = [result for result in results if result.status != status]
    first_sent_at = results[0].sent_at
    assert not others, [
        (result.instance, round(result.sent_at - first_sent_at, 2), result.status)
        for result in others[:10]
    ]


@then('meanwhile the server "{name}" received nothing')
def check_probe_servers(context, name):
    """Ends the requests and checks that a server answered none of them."""
    results = context.prober.stop()
    received = [result for result in results if result.server == name]
    first_sent_at = results[0].sent_at
    assert not received, [
        (result.instance, round(result.sent_at - first_sent_at, 2)) for result in received[:10]
    ]


@given('"{target}" is answered with {status:d} everywhere')
def wait_in_force(context, target, status):
    """Waits until all instances give the status."""
    for number in all_instances(context):
        site.wait_until(
            lambda number=number: (
                platform_actions.send_request(context, number, target).status == status
            ),
            f"{target} is not answered with {status} at instance {number}",
            IN_FORCE_SECONDS,
        )


@then('"{target}" is answered with {status:d} everywhere in time')
def check_in_force(context, target, status):
    """Checks that all instances give the status from the bound after the acknowledgement on."""
    sleep_until(context.acknowledged_at + IN_FORCE_SECONDS)
    status_by_instance = {
        number: platform_actions.send_request(context, number, target).status
        for number in all_instances(context)
    }
    assert set(status_by_instance.values()) == {status}, status_by_instance


@given('the servers in use are "{names}" in time')
@then('the servers in use are "{names}" in time')
def check_servers(context, names):
    """Checks which servers of plain requests are in use from the bound on."""
    sleep_until(getattr(context, "acknowledged_at", 0.0) + IN_FORCE_SECONDS)
    used = servers_used(context)
    assert used == set(names.split(", ")), used


@then('the server "{name}" is gone when the time to write again has passed')
def check_gone(context, name):
    """Checks that a server whose item was not written again is no longer in use."""
    sleep_until(context.returned_at + REWRITE_SECONDS + IN_FORCE_SECONDS)
    used = servers_used(context)
    assert name not in used, used


@given("no zone is evacuated anywhere")
@given('the zone "{zone}" is evacuated everywhere')
def wait_evacuated(context, zone=""):
    """Waits until all instances state that only this zone, or none, is evacuated."""
    expected = dict.fromkeys(all_instances(context), [zone] if zone else [])
    site.wait_until(
        lambda: zones_by_instance(context) == expected,
        "the evacuated zones differ",
        IN_FORCE_SECONDS,
    )


@then('the zone "{zone}" is evacuated everywhere in time')
def check_evacuated(context, zone):
    """Checks that all instances state the evacuation from the bound on."""
    sleep_until(context.acknowledged_at + IN_FORCE_SECONDS)
    zones = zones_by_instance(context)
    assert zones == dict.fromkeys(all_instances(context), [zone]), zones


@then("no zone is evacuated anywhere in time")
def check_not_evacuated(context):
    """Checks that no instance states an evacuation from the bound on."""
    sleep_until(context.acknowledged_at + IN_FORCE_SECONDS)
    zones = zones_by_instance(context)
    assert zones == dict.fromkeys(all_instances(context), []), zones


def zones_by_instance(context):
    """Returns the evacuated zones that the status of each instance states."""
    return {
        number: json.loads(
            site.fetch(f"http://127.0.1.{number}:{fleet.CONTROL_PORT}/v1/status") or "{}"
        ).get("evacuated_zones")
        for number in all_instances(context)
    }
