"""Steps that run the command ``check`` on settings and tables."""

import json
import pathlib
import subprocess
import sys
import tempfile

from behave import given, then, when

from standins import site


@given('a file "{name}" with')
def write_file(context, name):
    """Writes a file into the temporary folder of the scenario."""
    if not hasattr(context, "folder"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = pathlib.Path(folder.name)
    (context.folder / name).write_text(context.text + "\n", encoding="utf-8")


def run_check(context, arguments, folder):
    """Runs the command in a folder and records the completed process."""
    command = [sys.executable, "-m", "monsoonhoist", "check", *arguments]
    context.completed = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, env={"PYTHONPATH": str(site.ROOT)}
    )


@when('the operator checks "{arguments}"')
def check_files(context, arguments):
    """Runs the command on the files of the scenario."""
    run_check(context, arguments.split(), context.folder)


@when('the operator checks the example "{example}"')
def check_example(context, example):
    """Runs the command on the tables of an example."""
    folder = site.ROOT / "examples" / example
    arguments = ["--routes", "routes.ini"]
    for path in sorted((folder / "pools").glob("*.ini")):
        arguments += ["--pool", f"{path.stem}=pools/{path.name}"]
    run_check(context, arguments, folder)


@then("the exit code is {code:d}")
def check_exit_code(context, code):
    """Compares the exit code of the command."""
    assert context.completed.returncode == code, context.completed.stderr


@then("the findings are")
def check_findings(context):
    """Checks the number of findings and, in order, the place and the words of each."""
    lines = context.completed.stderr.splitlines()
    assert len(lines) == len(context.table.rows), lines
    for line, row in zip(lines, context.table.rows, strict=True):
        assert line.startswith(row["place"]), line
        assert all(word in line for word in row["words"].split(": ")), line


@then("the JSON findings are")
def check_json_findings(context):
    """Compares severity, section and message of each finding on standard output, in order."""
    findings = [
        (finding["severity"], finding["place"]["section"], finding["message"])
        for finding in json.loads(context.completed.stdout)
    ]
    expected = [(row["severity"], row["section"], row["message"]) for row in context.table]
    assert findings == expected, findings


@then('the error mentions "{words}"')
def check_error_words(context, words):
    """Searches standard error, without the frame and the line breaks of usage errors."""
    assert words in " ".join(context.completed.stderr.split()), context.completed.stderr
