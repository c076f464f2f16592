"""Steps with servers whose responses do not end, and the memory of the instance that reads them."""

import collections
import itertools
import pathlib
import threading
import time

import behave
from behave import given, then, when

from features.steps import platform_actions
from monsoonhoist.overload import held_bytes
from standins import fleet, shards

BYTES_PER_KIB = 1024
BYTES_PER_MB = 1_000_000
SEARCH_DEADLINE_MS = 2000
# First port of the servers of the added shards, behind those of the deployment's own servers.
FIRST_PORT = fleet.SERVER_PORT_BASE + 20


@given('a route "{prefix}" to {count:d} more shards, whose servers have the fault "{fault}"')
def add_faulty_shards(context, prefix, count, fault):
    """Starts one server for each new shard, and publishes a route that gathers them."""
    names = [f"wide{number}" for number in range(count)]
    behave.use_fixture(running_shards, context, names, fault)
    route = {
        "Name": "wide",
        "Host": fleet.HOST_NAME,
        "Prefix": prefix,
        "Type": "idempotent",
        "TimeoutMs": SEARCH_DEADLINE_MS,
        "GoalMs": 800,
        "Priority": 0,
        "Gather": names,
        "Attempts": 2,
        "TopK": 5,
        "MinShardShare": 0.75,
    }
    context.fleet.publish(extra=(route,))
    time.sleep(platform_actions.TABLES_SPREAD_SECONDS)


@behave.fixture
def running_shards(context, names, fault):
    """Runs a faulty server for each of some services, and removes them after the scenario."""
    servers = [
        shards.ShardServer(f"{name}-a", fleet.SERVER_HOST, FIRST_PORT + number, fleet.SLOTS)
        for number, name in enumerate(names)
    ]
    for name, server in zip(names, servers, strict=True):
        server.behaviour.fault = fault
        context.fleet.run_in_thread(server.start())
        context.fleet.add_server(server, name)
    try:
        yield servers
    finally:
        for server in servers:
            context.fleet.set_state(server.name, "removed")
            context.fleet.call_in_thread(server.stop)
            del context.fleet.server_by_name[server.name]


@when(
    '{count:d} callers send "{target}" to instance {number:d} for {seconds:d} s, and another caller'
    ' sends "{other_target}"'
)
def search_and_send(context, count, target, number, seconds, other_target):
    """Sends gathered requests from several callers, and plain ones from another caller."""
    context.searches = []
    context.others = []
    ends_at = time.monotonic() + seconds

    def keep_sending(sent_target, results, prefix):
        for attempt in itertools.count():
            started_at = time.monotonic()
            if started_at >= ends_at:
                return
            request_id = f"{prefix}-{attempt}"
            reply = context.fleet.send_request(
                number, sent_target, request_id=request_id, deadline_ms=SEARCH_DEADLINE_MS
            )
            results.append((reply.status, time.monotonic() - started_at))

    process_id = context.fleet.process_by_number[number].pid
    reset_peak_memory(process_id)
    threads = [
        threading.Thread(target=keep_sending, args=(target, context.searches, f"wide-{caller}"))
        for caller in range(count)
    ]
    threads.append(
        threading.Thread(target=keep_sending, args=(other_target, context.others, "other"))
    )
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.peak_bytes = read_peak_memory(process_id)


def reset_peak_memory(process_id):
    """Makes the kernel measure the largest resident memory of a process anew."""
    pathlib.Path(f"/proc/{process_id}/clear_refs").write_text("5", encoding="utf-8")


def read_peak_memory(process_id):
    """Returns the largest resident memory that a process has had, in bytes."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text(encoding="utf-8")
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(line.split()[1]) * BYTES_PER_KIB


@then("the memory of instance {number:d} has never exceeded {limit:d} MB")
def check_memory(context, number, limit):
    """Checks the largest resident memory."""
    assert context.peak_bytes <= limit * BYTES_PER_MB, context.peak_bytes / BYTES_PER_MB
    print(f"peak of {context.peak_bytes / BYTES_PER_MB:.0f} MB")


@then("the other caller's requests were answered with {status:d}")
def check_others(context, status):
    """Checks the answers to the requests to sound servers."""
    statuses = collections.Counter(each for each, _ in context.others)
    assert set(statuses) == {status}, statuses


@then("each search was answered with 502, 503 or 504 within {ms:d} ms")
def check_searches(context, ms):
    """Checks the answers to the gathered requests."""
    statuses = collections.Counter(status for status, _ in context.searches)
    assert statuses and set(statuses) <= {502, 503, 504}, statuses
    slowest = max(seconds for _, seconds in context.searches)
    assert slowest * 1000 <= ms, slowest


@given("responses in progress that may hold {limit:d} bytes together")
def make_account(context, limit):
    """Creates the account."""
    context.held = held_bytes.HeldBytes(limit)


@when('"small" receives {small:d} bytes, "large" {large:d} and "medium" {medium:d} bytes')
def add_three(context, small, large, medium):
    """Adds the bytes of three responses."""
    for name, count in (("small", small), ("large", large), ("medium", medium)):
        context.victim = context.held.add(name, count)
        assert context.victim is None


@when('"{name}" receives {count:d} bytes more')
def add_bytes(context, name, count):
    """Adds bytes of a response."""
    context.victim = context.held.add(name, count)


@when('"{name}" has ended')
def end(context, name):
    """Releases a response."""
    context.held.release(name)


@then('"{name}" is to be ended')
def check_victim(context, name):
    """Checks which response is to be ended."""
    assert context.victim == name, context.victim


@then("none is to be ended")
def check_no_victim(context):
    """Checks that no response is to be ended."""
    assert context.victim is None, context.victim
