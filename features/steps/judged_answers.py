"""Steps that check which answers of background callers are judged."""

import json
import pathlib
import tempfile
import types

from behave import given, then, when

from features import callers


@given("instance 1 has logged a pause from {start:g} s to {end:g} s and was ready at {ready:g} s")
def write_logs(context, start, end, ready):
    """Writes the logs of two instances, the second without a pause."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    rows = [
        {"message": "ready", "at": 1.0},
        {"message": "the process was paused", "at": end, "seconds": end - start},
        {"message": "ready", "at": ready},
    ]
    text = "".join(f"{json.dumps(row)}\n" for row in rows)
    (context.folder / "node-1.log").write_text(text, encoding="utf-8")
    (context.folder / "node-2.log").write_text("", encoding="utf-8")


@when(
    "a request that was sent to instance {number:d} at {sent:g} s is refused"
    ' as "{reason}" at {ended:g} s'
)
def refuse(context, number, sent, reason, ended):
    """Records a refusal."""
    options = types.SimpleNamespace(instances=2)
    deployment = types.SimpleNamespace(options=options, folder=context.folder)
    context.callers = callers.Callers(deployment, "r", ())
    answer = {"outcome": "not_run", "reason": reason}
    context.callers.requests.append(callers.AnsweredRequest(number, sent, ended, answer))


@then("the refusal is {verdict}")
def check_verdict(context, verdict):
    """Checks whether the refusal is among the answers that are judged."""
    assert bool(context.callers.accepted_answers()) == (verdict == "judged")
