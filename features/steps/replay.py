"""Steps of trace replay."""

import gzip
import json

import msgspec
from behave import then, when

from monsoonhoist.core import traces
from standins import site

FOLDER = site.ROOT / "features" / "traces"


def read_lines(name):
    """Returns a trace's lines."""
    with gzip.open(FOLDER / f"{name}.jsonl.gz", "rb") as source:
        return source.readlines()


@when('the trace "{name}" is replayed')
def replay_trace(context, name):
    """Replays a trace and reads its stated outcomes."""
    context.replay = traces.replay(name, read_lines(name))
    context.stated = json.loads((FOLDER / f"{name}.answers.json").read_text())


@when('the trace "{name}" is replayed with "{old}" changed to "{new}"')
def replay_changed(context, name, old, new):
    """Replays a trace with a word changed."""
    lines = [line.replace(old.encode(), new.encode()) for line in read_lines(name)]
    context.replay = traces.replay(name, lines)


@then("no command differs")
def check_same(context):
    """Checks that the kernels did as recorded."""
    assert context.replay.steps > 0
    assert not context.replay.findings, context.replay.findings[:3]


@then("the answers are those that the callers got")
def check_answers(context):
    """Compares the kernels' answers with the stated ones, byte for byte."""
    found = [json.loads(msgspec.json.encode(answer)) for answer in context.replay.answers]
    assert found == context.stated


@then("some command differs, with file and line")
def check_findings(context):
    """Checks that the change is found with its place."""
    assert context.replay.findings
    assert all(finding.place.line > 1 for finding in context.replay.findings)
