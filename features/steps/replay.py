"""Steps that test the replay of recorded traces."""

import gzip
import json

import msgspec
from behave import then, when

from monsoonhoist.core import data
from monsoonhoist.kernels import traces
from standins import site

TRACES_PATH = site.ROOT / "features" / "traces"


def read_lines(name):
    """Returns the lines of a recorded trace."""
    with gzip.open(TRACES_PATH / f"{name}.jsonl.gz", "rb") as source:
        return source.readlines()


@when('the trace "{name}" is replayed')
def replay_trace(context, name):
    """Replays a trace and reads the recorded answers."""
    context.replay = traces.replay(name, read_lines(name))
    context.recorded_answers = json.loads((TRACES_PATH / f"{name}.answers.json").read_text())


@when('the trace "{name}" is replayed with "{old}" changed to "{new}"')
def replay_changed(context, name, old, new):
    """Replays a trace in which a text is replaced."""
    lines = [line.replace(old.encode(), new.encode()) for line in read_lines(name)]
    context.replay = traces.replay(name, lines)


@then("no command differs")
def check_same(context):
    """Checks that the commands are identical to the recorded ones."""
    assert context.replay.steps > 0
    assert not context.replay.findings, context.replay.findings[:3]


@then("the answers are those that the callers received")
def check_answers(context):
    """Compares the answers of the replay with the recorded ones."""
    recorded = msgspec.convert(context.recorded_answers, tuple[data.Answer, ...])
    assert context.replay.answers == recorded


@then("a difference is reported with file and line")
def check_findings(context):
    """Checks that each finding names a line after the header."""
    assert context.replay.findings
    assert all(finding.place.line > 1 for finding in context.replay.findings), (
        context.replay.findings[:3]
    )
