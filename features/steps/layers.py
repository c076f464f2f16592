"""Steps that look at the program's own text."""

import re

from behave import then

from standins import site

PACKAGE = site.ROOT / "monsoonhoist"


def modules(folder=""):
    """Returns the text of each module by its path within the package."""
    return {
        path.relative_to(PACKAGE): path.read_text(encoding="utf-8")
        for path in sorted((PACKAGE / folder).rglob("*.py"))
    }


@then('no module outside "{folder}" holds one of the words')
def check_words(context, folder):
    """Searches for words."""
    words = [row["word"] for row in context.table]
    found = [
        (str(path), word)
        for path, text in modules().items()
        if path.parts[0] != folder
        for word in words
        if word in text
    ]
    assert not found, found


@then('"{folder}" holds less than {percent:d} of 100 lines of the program')
def check_share(context, folder, percent):
    """Counts lines."""
    lines = sum(text.count("\n") for text in modules(folder).values())
    total = sum(text.count("\n") for text in modules().values())
    assert lines * 100 < total * percent, (lines, total)


@then('no module in "{folders}" imports one of')
def check_imports(context, folders):
    """Searches for import lines."""
    names = [row["module"] for row in context.table]
    found = [
        (str(path), name)
        for folder in folders.split(", ")
        for path, text in modules(folder).items()
        for name in names
        if re.search(rf"^(import|from) {re.escape(name)}\b", text, re.MULTILINE)
    ]
    assert not found, found


@then("each module has at most {most:d} lines")
def check_lengths(context, most):
    """Counts the lines of each module."""
    found = {
        str(path): text.count("\n") for path, text in modules().items() if text.count("\n") > most
    }
    assert not found, found
