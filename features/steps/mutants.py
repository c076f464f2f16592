"""Steps that check the mutants without running them."""

import pathlib

from behave import then

from bench import mutants

PACKAGE = mutants.ROOT / "monsoonhoist"


@then("each mutant's text occurs in its file")
def check_texts(context):
    """Checks the texts of all mutants, and of the second changes that some need."""
    changes = [each for mutant in mutants.MUTANTS for each in (mutant, mutant.also) if each]
    outdated = [each.name for each in changes if not find_text(each)]
    assert not outdated, outdated


def find_text(mutant):
    """Returns whether the text of a mutant occurs in its file."""
    path = pathlib.Path(PACKAGE, mutant.file)
    return path.exists() and mutant.old in path.read_text(encoding="utf-8")
