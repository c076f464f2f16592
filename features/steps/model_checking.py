"""Steps that run the model checker Spin."""

import pathlib
import re
import subprocess
import tempfile

from behave import then, when

from standins import site

TIMEOUT_SECONDS = 300
SEARCH_DEPTH_MAX = 1_000_000


@when('Spin explores the model "{model}" with "{mutant}"')
def explore_model(context, model, mutant):
    """Generates, compiles and runs the verifier of a model."""
    source = site.ROOT / "spec" / f"{model}.pml"
    defines = [] if mutant == "none" else [f"-D{mutant}"]
    with tempfile.TemporaryDirectory() as folder:
        run(["spin", "-a", *defines, str(source)], folder)
        run(["cc", "-O2", "-DSAFETY", "-o", "pan", "pan.c"], folder)
        context.verifier_output = run(
            [str(pathlib.Path(folder) / "pan"), f"-m{SEARCH_DEPTH_MAX}"], folder
        )


def run(command, folder):
    """Runs a command in a folder and returns its output."""
    return subprocess.run(
        command, cwd=folder, capture_output=True, text=True, check=True, timeout=TIMEOUT_SECONDS
    ).stdout


@then("the search ends with {errors}")
def check_search(context, errors):
    """Checks whether errors were found, and that the search was not truncated."""
    error_count = int(re.search(r"errors: (\d+)", context.verifier_output)[1])
    state_count = int(re.search(r"(\d+) states, stored", context.verifier_output)[1])
    print(f"{state_count} states, {error_count} errors")
    assert "max search depth too small" not in context.verifier_output
    assert state_count > 0
    assert (error_count == 0) == (errors == "no error"), context.verifier_output
