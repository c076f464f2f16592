"""Steps that build and run the one-file program."""

import os
import pathlib
import subprocess
import sys
import tempfile

import behave

import features.environment as fixtures
from standins import site

PROGRAM_PATH = site.ROOT / "dist" / "monsoonhoist"


@behave.given("the one-file program has been built")
def build(context):
    """Builds the program with the script that operators use."""
    subprocess.run([site.ROOT / "scripts" / "build"], check=True, capture_output=True)


@behave.given("a deployment of it runs")
def start(context):
    """Starts a deployment whose instances run the built program."""
    os.environ["PEX_ROOT"] = str(pathlib.Path(tempfile.gettempdir()) / "monsoonhoist-pex")
    options = site.SiteOptions(pools=("allocator",), program=(sys.executable, str(PROGRAM_PATH)))
    behave.use_fixture(fixtures.running_site, context, options)


@behave.then("each instance is one process")
def check_processes(context):
    """Checks that no instance has a child process."""
    for name, process in context.site.process_by_name.items():
        if name.startswith("node-"):
            children = pathlib.Path(f"/proc/{process.pid}/task/{process.pid}/children")
            assert children.read_text().strip() == "", name
