"""Steps that test a cell of running instances while one of them fails."""

import collections
import signal
import threading
import time

from behave import then, when

from features.steps import platform_actions
from standins import fleet

REQUEST_PAUSE_SECONDS = 0.02
FAULT_DELAY_SECONDS = 0.2


@when("callers send {count:d} searches to the instances {first:d} to {last:d}")
def send_searches(context, count, first, last):
    """Sends gathered requests to the instances in turn and records the time until each answer."""
    context.answer_seconds = []
    for number in range(count):
        platform_actions.send_request(
            context, first + number % (last - first + 1), f"/find/{number}"
        )
        context.answer_seconds.append(context.reply_seconds)
        time.sleep(REQUEST_PAUSE_SECONDS)


@when(
    "callers send {count:d} searches to the instances {first:d} to {last:d}"
    " while instance {number:d} is killed"
)
def search_while_killed(context, count, first, last, number):
    """Kills an instance while others receive requests, then starts it again."""
    process = context.fleet.process_by_number[number]
    timer = threading.Timer(FAULT_DELAY_SECONDS, process.kill)
    timer.start()
    send_searches(context, count, first, last)
    process.wait(timeout=fleet.CALL_TIMEOUT_SECONDS)
    context.fleet.start_instance(number)
    context.fleet.wait_ready()


@when(
    "callers send {count:d} searches to the instances {first:d} to {last:d}"
    " while instance {number:d} is suspended"
)
def search_while_suspended(context, count, first, last, number):
    """Suspends an instance while others receive requests, then resumes it."""
    process = context.fleet.process_by_number[number]
    timer = threading.Timer(FAULT_DELAY_SECONDS, process.send_signal, [signal.SIGSTOP])
    timer.start()
    send_searches(context, count, first, last)
    timer.join()
    process.send_signal(signal.SIGCONT)
    context.fleet.wait_ready()


@then("all answers contain {parts:d} parts")
def check_all_parts(context, parts):
    """Checks that each answer has proofs of all parts."""
    part_counts = [len(platform_actions.proofs_of(reply)) for reply in context.replies]
    assert set(part_counts) == {parts}, part_counts


@then("at least {least:d} answers contain {parts:d} parts")
def check_complete_count(context, least, parts):
    """Checks how many answers have proofs of all parts."""
    complete = sum(len(platform_actions.proofs_of(reply)) == parts for reply in context.replies)
    assert complete >= least, complete


@then("no answer took longer than {ms:d} ms")
def check_times(context, ms):
    """Checks the longest time until an answer."""
    assert max(context.answer_seconds) <= ms / 1000, sorted(context.answer_seconds)[-3:]


@then("the work of no shard ran more than twice for one request")
def check_runs(context):
    """Checks how often each request ran on the servers of each shard; the route allows two runs."""
    for request_id in context.request_ids:
        run_counts = collections.Counter(
            name.rsplit("-", 1)[0]
            for name, server in context.fleet.server_by_name.items()
            for request in list(server.received_requests)
            if request.request_id == request_id and request.ran
        )
        assert max(run_counts.values(), default=0) <= 2, (request_id, run_counts)
