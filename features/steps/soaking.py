"""Steps of the soak test.

The module is not named ``soak``: it would hide the package of that name, since this folder is on
the import path while behave loads the steps.
"""

import asyncio
import pathlib
import subprocess
import sys

from behave import then, when

from soak import plan, proxy, return_plan
from standins import shards, site

SEEDS_PATH = pathlib.Path(__file__).resolve().parent.parent / "soak" / "seeds"
RUN_TIMEOUT_SECONDS = 150
ERROR_CHARS_MAX = 2000


def run_seed(seed, seconds, instances, *further):
    """Runs the soak test with a seed and further options, and returns the completed process."""
    command = [sys.executable, "-m", "soak", "--seed", str(seed)]
    command += ["--seconds", str(seconds), "--instances", str(instances), *further]
    return subprocess.run(
        command,
        cwd=site.ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=RUN_TIMEOUT_SECONDS,
    )


def describe(completed):
    """Returns what a run printed, without its plan, and the end of what it reported as errors."""
    lines = [line for line in completed.stdout.splitlines() if not line.startswith("    ")]
    report = "\n".join(lines)
    return f"exit status {completed.returncode}\n{report}\n{completed.stderr[-ERROR_CHARS_MAX:]}"


@then("two plans of seed {first:d} are equal and the plan of seed {second:d} differs")
def check_plans(context, first, second):
    """Compares the fault plans of two seeds."""
    assert plan.make_plan(first, 30.0, 5) == plan.make_plan(first, 30.0, 5)
    assert plan.make_plan(first, 30.0, 5).faults != plan.make_plan(second, 30.0, 5).faults


@when("the soak test runs seed {seed:d} for {seconds:d} s with {instances:d} instances")
def run_one_seed(context, seed, seconds, instances):
    """Runs the soak test with one seed."""
    context.runs = [run_seed(seed, seconds, instances)]


@then("the returns of seed {seed:d} are added to its other faults, which stay as they are")
def check_plan_with_returns(context, seed):
    """Compares the plans of a seed with and without returns, drained servers apart."""
    base = plan.make_plan(seed, 30.0, 5)
    with_returns = return_plan.add_returns(base)
    assert with_returns == return_plan.add_returns(plan.make_plan(seed, 30.0, 5))
    kinds = [fault.kind for fault in with_returns.faults]
    assert plan.FaultKind.STORE_RETURN in kinds, kinds
    times = [fault.at for fault in with_returns.faults]
    assert times == sorted(times), times
    others = [fault for fault in base.faults if fault.kind is not plan.FaultKind.DRAIN]
    missing = [fault for fault in others if fault not in with_returns.faults]
    assert not missing, missing


@when(
    "the soak test runs seed {seed:d} for {seconds:d} s with {instances:d} instances and a store"
    " that comes back from older copies"
)
def run_seed_with_returns(context, seed, seconds, instances):
    """Runs the soak test with one seed and with returns of the store."""
    context.runs = [run_seed(seed, seconds, instances, "--returns")]


@when(
    "the native soak test runs seed {seed:d} for {seconds:d} s and a service that comes back from"
    " older copies"
)
def run_native_seed_with_returns(context, seed, seconds):
    """Runs the soak test of the native dialect with one seed and with returns of the service."""
    context.runs = [run_seed(seed, seconds, 3, "--dialect", "native", "--returns")]


@then("it ends without violations")
def check_native_clean(context):
    """Checks the exit status and the number of violations of a run of the native dialect."""
    (completed,) = context.runs
    assert completed.returncode == 0, describe(completed)
    assert " 0 violations" in completed.stdout, describe(completed)


@when("the soak test runs the seeds of past failures")
def run_failed_seeds(context):
    """Runs the soak test with each seed of the file of past failures."""
    context.runs = []
    for line in SEEDS_PATH.read_text(encoding="utf-8").splitlines():
        if line and not line.startswith("#"):
            seed, seconds, instances = line.split()[:3]
            context.runs.append(run_seed(int(seed), int(seconds), int(instances)))


@then("it ends with 0 broken promises")
@then("all of them end with 0 broken promises")
def check_clean(context):
    """Checks the exit status and the last line of the standard output of all runs."""
    for completed in context.runs:
        assert completed.returncode == 0, describe(completed)
        assert completed.stdout.strip().endswith(" 0 broken promises"), describe(completed)


@then("it writes nothing to standard error")
def check_errors(context):
    """Checks that no run reports an error, so that errors of the stand-ins are not overlooked."""
    for completed in context.runs:
        assert not completed.stderr, completed.stderr[-ERROR_CHARS_MAX:]


@when("a server and a proxy before it are stopped with a connection that {state}")
def stop_stand_ins(context, state):
    """Stops both as the soak does, with connections that the client still holds."""
    context.loop_errors = []
    asyncio.run(_stop_with_connection(state, context.loop_errors))


async def _stop_with_connection(state, errors):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, details: errors.append(details["message"]))
    server = shards.ShardServer("records-a", "127.0.0.1", 0, 1)
    server.behaviour.work_seconds = 60.0
    await server.start()
    server_proxy = proxy.Proxy(server.address)
    address = await server_proxy.start("127.0.0.1", 0)
    writers = []
    for target in (server.address, address):
        host, _, port = target.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writers.append(writer)
        if state == "waits for a reply":
            writer.write(b"GET /record/1 HTTP/1.1\r\nX-Request-Id: r\r\n\r\n")
    if state == "waits for a reply":
        while len(server.received_requests) < len(writers):
            await asyncio.sleep(0.01)
    elif state == "is idle":
        await asyncio.sleep(0.05)
    server.stop()
    await server_proxy.close()
    await server.close_connections()
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    await asyncio.sleep(0)
    for writer in writers:
        writer.close()


@then("the event loop has reported no error")
def check_loop_errors(context):
    """Checks that no callback of the event loop has failed."""
    assert not context.loop_errors, context.loop_errors
