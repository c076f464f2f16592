"""Steps of the model checker."""

import pathlib
import re
import subprocess
import tempfile

from behave import then, when

from standins import site

SEARCH_SECONDS = 300
DEPTH = 1_000_000


@when('spin searches the model "{model}" with "{mutant}"')
def search(context, model, mutant):
    """Generates, compiles and runs the verifier."""
    source = site.ROOT / "spec" / f"{model}.pml"
    defines = [] if mutant == "none" else [f"-D{mutant}"]
    with tempfile.TemporaryDirectory() as folder:
        run(["spin", "-a", *defines, str(source)], folder)
        run(["cc", "-O2", "-DSAFETY", "-o", "pan", "pan.c"], folder)
        context.search = run([str(pathlib.Path(folder) / "pan"), f"-m{DEPTH}"], folder)


def run(command, folder):
    """Runs a command in a folder and returns its output."""
    return subprocess.run(
        command, cwd=folder, capture_output=True, text=True, check=True, timeout=SEARCH_SECONDS
    ).stdout


@then("the search ends with {errors}")
def check_search(context, errors):
    """Checks the number of errors, and that the search was whole."""
    found = int(re.search(r"errors: (\d+)", context.search)[1])
    states = int(re.search(r"(\d+) states, stored", context.search)[1])
    print(f"{states} states, {found} errors")
    assert "max search depth too small" not in context.search
    assert states > 0
    assert (found == 0) == (errors == "no error"), context.search
