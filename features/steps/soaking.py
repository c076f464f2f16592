"""Steps of the soak test.

The module is not named ``soak``: it would hide the package of that name, since this folder is on
the import path while behave loads the steps.
"""

import pathlib
import subprocess
import sys

from behave import then, when

from soak import plan
from standins import site

SEEDS_PATH = pathlib.Path(__file__).resolve().parent.parent / "soak" / "seeds"
RUN_TIMEOUT_SECONDS = 150


def run_seed(seed, seconds, instances):
    """Runs the soak test with a seed and returns the output of the command."""
    command = [sys.executable, "-m", "soak", "--seed", str(seed)]
    command += ["--seconds", str(seconds), "--instances", str(instances)]
    completed = subprocess.run(
        command,
        cwd=site.ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=RUN_TIMEOUT_SECONDS,
    )
    return completed.stdout + completed.stderr


def is_clean(output):
    """Returns whether the output of a run reports no broken promise."""
    return output.strip().endswith(" 0 broken promises")


@then("two plans of seed {first:d} are equal and the plan of seed {second:d} differs")
def check_plans(context, first, second):
    """Compares the fault plans of two seeds."""
    assert plan.make_plan(first, 30.0, 5) == plan.make_plan(first, 30.0, 5)
    assert plan.make_plan(first, 30.0, 5).faults != plan.make_plan(second, 30.0, 5).faults


@when("the soak test runs seed {seed:d} for {seconds:d} s with {instances:d} instances")
def run_one_seed(context, seed, seconds, instances):
    """Runs the soak test with one seed."""
    context.outputs = [run_seed(seed, seconds, instances)]


@when("the soak test runs the seeds of past failures")
def run_failed_seeds(context):
    """Runs the soak test with each seed of the file of past failures."""
    context.outputs = []
    for line in SEEDS_PATH.read_text(encoding="utf-8").splitlines():
        if line and not line.startswith("#"):
            seed, seconds, instances = line.split()[:3]
            context.outputs.append(run_seed(int(seed), int(seconds), int(instances)))


@then("it ends with 0 broken promises")
@then("all of them end with 0 broken promises")
def check_clean(context):
    """Checks the outputs of all runs."""
    for output in context.outputs:
        assert is_clean(output), output[-3000:]
