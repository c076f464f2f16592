"""Steps of the soak; named so that they do not hide the package ``soak``."""

import pathlib
import subprocess
import sys

from behave import then, when

from soak import plan
from standins import site

SEEDS = pathlib.Path(__file__).resolve().parent.parent / "soak" / "seeds"
SOAK_SECONDS_MAX = 150


def play(seed, seconds, instances):
    """Plays a seed and returns what the command printed."""
    command = [sys.executable, "-m", "soak", "--seed", str(seed)]
    command += ["--seconds", str(seconds), "--instances", str(instances)]
    ended = subprocess.run(
        command,
        cwd=site.ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=SOAK_SECONDS_MAX,
    )
    return ended.stdout + ended.stderr


def is_clean(output):
    """Returns whether a run ended without a broken promise."""
    return output.strip().endswith(" 0 broken promises")


@then("two plans of seed {first:d} are equal and the plan of seed {second:d} differs")
def check_plans(context, first, second):
    """Makes plans."""
    assert plan.make(first, 30.0, 5) == plan.make(first, 30.0, 5)
    assert plan.make(first, 30.0, 5).faults != plan.make(second, 30.0, 5).faults


@when("the soak test runs seed {seed:d} for {seconds:d} s with {instances:d} instances")
def play_one(context, seed, seconds, instances):
    """Plays one seed."""
    context.outputs = [play(seed, seconds, instances)]


@when("the soak test runs the seeds of past failures")
def play_failed(context):
    """Plays the seeds of the file."""
    context.outputs = []
    for line in SEEDS.read_text(encoding="utf-8").splitlines():
        if line and not line.startswith("#"):
            seed, seconds, instances = line.split()[:3]
            context.outputs.append(play(int(seed), int(seconds), int(instances)))


@then("it ends with 0 broken promises")
@then("all of them end with 0 broken promises")
def check_clean(context):
    """Checks the outputs."""
    for output in context.outputs:
        assert is_clean(output), output[-3000:]
