"""Steps of cells over real streams."""

import collections
import signal
import threading
import time

from behave import then, when

from features.steps import platform as common
from standins import fleet

GAP_SECONDS = 0.02
FAULT_AFTER_SECONDS = 0.2


@when("callers find {count:d} things at the instances {first:d} to {last:d}")
def find_many(context, count, first, last):
    """Asks the instances in turn and notes how long each answer took."""
    context.times = []
    for number in range(count):
        common.ask(context, first + number % (last - first + 1), f"/find/{number}")
        context.times.append(context.reply_seconds)
        time.sleep(GAP_SECONDS)


@when(
    "callers find {count:d} things at the instances {first:d} to {last:d}"
    " while instance {number:d} is killed"
)
def find_while_killed(context, count, first, last, number):
    """Kills an instance while callers ask others, then starts it again."""
    process = context.fleet.process_by_number[number]
    timer = threading.Timer(FAULT_AFTER_SECONDS, process.kill)
    timer.start()
    find_many(context, count, first, last)
    process.wait(timeout=fleet.CALL_TIMEOUT_SECONDS)
    context.fleet.start_instance(number)
    context.fleet.wait_ready()


@when(
    "callers find {count:d} things at the instances {first:d} to {last:d}"
    " while instance {number:d} stands still"
)
def find_while_stopped(context, count, first, last, number):
    """Stops an instance while callers ask others, then lets it go on."""
    process = context.fleet.process_by_number[number]
    timer = threading.Timer(FAULT_AFTER_SECONDS, process.send_signal, [signal.SIGSTOP])
    timer.start()
    find_many(context, count, first, last)
    timer.join()
    process.send_signal(signal.SIGCONT)
    context.fleet.wait_ready()


@then("all answers name {parts:d} parts")
def check_all_parts(context, parts):
    """Checks that no answer lacks a part."""
    assert {len(common.proofs_of(reply)) for reply in context.replies} == {parts}


@then("at least {least:d} answers name {parts:d} parts")
def check_most_parts(context, least, parts):
    """Checks how many answers are whole."""
    whole = sum(len(common.proofs_of(reply)) == parts for reply in context.replies)
    assert whole >= least, whole


@then("no answer took longer than {ms:d} ms")
def check_times(context, ms):
    """Checks the longest time."""
    assert max(context.times) <= ms / 1000, sorted(context.times)[-3:]


@then("no server ran a shard's call of one request more than twice")
def check_runs(context):
    """Checks the servers' journals against the route's two attempts."""
    for request_id in context.request_ids:
        runs = collections.Counter(
            name.rsplit("-", 1)[0]
            for name, server in context.fleet.server_by_name.items()
            for seen in list(server.seen)
            if seen.request_id == request_id and seen.ran
        )
        assert max(runs.values(), default=0) <= 2, (request_id, runs)
