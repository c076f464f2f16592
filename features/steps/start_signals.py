"""Steps that send a signal to a process that starts."""

import contextlib
import os
import pathlib
import re
import signal
import subprocess
import sys
import time

from behave import then, when

from standins import site

END_TIMEOUT_SECONDS = 30
POLL_SECONDS = 0.002


@when(
    'an instance without settings is started by "{module}", and receives SIGHUP as soon as it runs'
)
def start_and_signal(context, module):
    """Starts an entry point of instances, whose settings file does not exist."""
    environment = {**os.environ, "MONSOONHOIST_NODE_FILE": str(site.ROOT / "no-such-settings.ini")}
    context.starting = subprocess.Popen(
        [sys.executable, "-m", *module.split()],
        cwd=site.ROOT,
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    context.add_cleanup(context.starting.kill)
    while context.starting.poll() is None and not ignores_reload(context.starting.pid):
        time.sleep(POLL_SECONDS)
    context.has_received = context.starting.poll() is None
    context.starting.send_signal(signal.SIGHUP)


def ignores_reload(process_id):
    """Returns whether a process ignores SIGHUP, as it does before its modules are loaded."""
    with contextlib.suppress(FileNotFoundError):
        status = pathlib.Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
        ignored = re.search(r"^SigIgn:\s*([0-9a-f]+)$", status, re.MULTILINE)
        return bool(int(ignored[1], 16) & 1 << signal.SIGHUP - 1)
    return False


@then("it ends by itself because it has no settings")
def check_end(context):
    """Checks that the process received the signal while it started, and was not ended by it."""
    assert context.has_received, "the process does not ignore the signal"
    status = context.starting.wait(END_TIMEOUT_SECONDS)
    assert status > 0, status
