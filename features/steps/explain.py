"""Steps of the command ``explain`` and of the log buffer."""

import json
import logging
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from behave import given, then, when

from monsoonhoist import explanation, logs
from standins import site

LOG_DELAY_SECONDS = 0.3


@when("the request is explained")
def explain_last_request(context):
    """Explains the last request, after a delay in which the instances write their logs."""
    time.sleep(LOG_DELAY_SECONDS)
    explain(context, context.request_id)


@when('the request "{request_id}" is explained')
def explain(context, request_id):
    """Runs the command ``explain`` on the logs of all instances."""
    files = [str(path) for path in sorted(context.fleet.folder.glob("*.log"))]
    command = [sys.executable, "-m", "monsoonhoist", "explain", request_id, *files]
    context.completed = subprocess.run(
        command, cwd=site.ROOT, capture_output=True, text=True, check=False
    )
    context.explanation_text = context.completed.stdout


@then("the command's exit code is {code:d}")
def check_code(context, code):
    """Checks the exit code of the command."""
    assert context.completed.returncode == code, context.completed


@then('the explanation lists "{names}" as missing')
def check_missing(context, names):
    """Checks the missing shards that the explanation lists."""
    assert f"missing={','.join(names.split(', '))}" in context.explanation_text, (
        context.explanation_text
    )


@then('the explanation lists a failed call with the reason "{reason}"')
def check_failed_call(context, reason):
    """Checks that the explanation lists a failed call with the reason."""
    lines = context.explanation_text.splitlines()
    assert any("call failed" in line and f"reason={reason}" in line for line in lines), lines


@then('the cause begins with "{text}"')
def check_cause(context, text):
    """Checks the line that states the cause."""
    assert f"\ncause: {text}" in context.explanation_text, context.explanation_text


@given("two logs of a request, and the second instance's wall clock jumps by an hour")
def write_logs(context):
    """Writes the logs of two instances.

    In the second log, the wall-clock time of one line is an hour ahead of its monotonic time.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="monsoonhoist-logs-"))
    first = [
        log_line(0, 100.0, 1, "other"),
        log_line(0, 100.0, 1, "arrived"),
        log_line(9, 109.0, 1, "answered"),
    ]
    second = [
        log_line(1, 501.0, 2, "other"),
        log_line(2, 502.0, 2, "called"),
        log_line(3603, 503.0, 2, "call failed"),
        log_line(4, 504.0, 2, "other"),
    ]
    context.paths = []
    for name, lines in (("a.log", first), ("b.log", second)):
        path = folder / name
        path.write_text("\n".join(json.dumps(line) for line in lines), encoding="utf-8")
        context.paths.append(path)


def log_line(wall_seconds, monotonic_seconds, incarnation, message):
    """Returns a log line.

    Args:
        wall_seconds: Wall-clock time, in seconds after 08:00.
        monotonic_seconds: Monotonic time of the instance.
        incarnation: Incarnation of the instance, whose name is derived from it.
        message: Message of the line; "other" is a line of no request.
    """
    minute, second = divmod(wall_seconds, 60)
    hour, minute = divmod(minute, 60)
    return {
        "time": f"2026-12-04T{8 + hour:02d}:{minute:02d}:{second:02d}.000+00:00",
        "at": monotonic_seconds,
        "instance": f"i{incarnation}",
        "incarnation": incarnation,
        "message": message,
        "request_id": "" if message == "other" else "r",
    }


@when("the logs are merged")
def merge_logs(context):
    """Explains the request with the logs that the scenario has written."""
    context.lines = explanation.explain("r", context.paths).lines


@then('the steps are listed in the order "{names}"')
def check_order(context, names):
    """Checks the order of the explained steps."""
    for line, name in zip(context.lines, names.split(", "), strict=True):
        assert name in line, (line, name)


@given("a log buffer that writes to a full pipe")
def make_buffer(context):
    """Creates a log buffer whose pipe is full and has no reader."""
    context.pipe = os.pipe()
    context.buffer = logs.BufferHandler(context.pipe[1])
    context.buffer.setFormatter(logs.LineFormatter("i", 1))
    try:
        while True:
            os.write(context.pipe[1], b"x" * 65536)
    except BlockingIOError:
        pass


@when("{infos:d} info lines and {warnings:d} warnings are logged")
def log_many(context, infos, warnings):
    """Logs more lines than the rate limit allows and the buffer holds, and measures the time."""
    logger = logging.Logger("full", logging.INFO)
    logger.addHandler(context.buffer)
    start = time.monotonic()
    for number in range(warnings):
        logger.warning("warning %d", number)
    for number in range(infos):
        logger.info("usual %d", number)
    context.seconds = time.monotonic() - start


@then("logging took less than {seconds:d} s")
def check_seconds(context, seconds):
    """Checks that logging did not block."""
    assert context.seconds < seconds, context.seconds


@then("the buffer holds the {count:d} warnings")
def check_warnings(context, count):
    """Reads the pipe until the buffer is empty, and counts the warnings."""
    reader, writer = context.pipe
    os.set_blocking(reader, False)
    text = b""
    while True:
        is_empty = context.buffer.write()
        try:
            text += os.read(reader, 1_048_576)
        except BlockingIOError:
            if is_empty:
                break
    os.close(reader)
    os.close(writer)
    assert text.count(b'"level":"WARNING"') == count, text.count(b"WARNING")


@then("the dropped lines are counted")
def check_dropped_count(context):
    """Checks that the buffer has counted the dropped lines."""
    assert context.buffer.dropped_count > 0
