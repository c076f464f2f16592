"""Steps that run a small set of tests and read the report of its failures."""

import os
import pathlib
import subprocess
import sys
import tempfile

from behave import given, then

from features import failure_report
from standins import site

SAMPLE_FEATURE = "{tag}Feature: F\n  Scenario: A scenario\n    Then it holds\n"
SAMPLE_ENVIRONMENT = """\
from features import failure_report

def before_all(context):
    failure_report.register(context.config)

def before_tag(context, tag):
    raise OSError("address already in use")

def after_scenario(context, scenario):
    failure_report.note_evidence(scenario, "/tmp/folder-1", ("r-1", "r-2"))
"""
SAMPLE_STEPS = """\
import os
from behave import then

@then("it holds")
def check(context):
    assert not os.environ["SAMPLE_MESSAGE"], os.environ["SAMPLE_MESSAGE"]
"""


def run_sample(context, message="", tag=""):
    """Runs one scenario in a folder of its own and stores the report."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        (folder / "features" / "steps").mkdir(parents=True)
        (folder / "features" / "sample.feature").write_text(SAMPLE_FEATURE.format(tag=tag))
        (folder / "features" / "environment.py").write_text(SAMPLE_ENVIRONMENT)
        (folder / "features" / "steps" / "steps.py").write_text(SAMPLE_STEPS)
        # The modules of this package are found beside those of the sample.
        (folder / "features" / "__init__.py").write_text(f"__path__.append({str(FEATURES)!r})\n")
        report = folder / "report.txt"
        environment = {
            **os.environ,
            failure_report.PATH_VARIABLE: str(report),
            "SAMPLE_MESSAGE": message,
            "PYTHONPATH": str(site.ROOT),
        }
        command = [sys.executable, "-m", "behave", "--no-color", "--format", "progress"]
        context.completed = subprocess.run(
            command, cwd=folder, env=environment, capture_output=True, text=True, check=False
        )
        context.report = report.read_text(encoding="utf-8")


FEATURES = site.ROOT / "features"


@given("a run of tests with a scenario whose step fails with")
def run_failing(context):
    """Runs a scenario that fails with the given message."""
    run_sample(context, context.text)
    assert context.completed.returncode == 1, context.completed.stdout


@given("a run of tests with a deployment that does not start")
def run_unstarted(context):
    """Runs a scenario whose hook fails."""
    run_sample(context, tag="@fleet\n")
    assert context.completed.returncode == 1, context.completed.stdout


@given("a run of tests without failures")
def run_passing(context):
    """Runs a scenario that passes."""
    run_sample(context)
    assert context.completed.returncode == 0, context.completed.stdout


@then('its report contains "{text}"')
def check_report(context, text):
    """Checks a part of the report."""
    assert text in context.report, context.report + context.completed.stdout


@then("its report is empty")
def check_empty(context):
    """Checks that there is no failure in the report."""
    assert not context.report, context.report
