"""Steps that check the source of the program."""

import re

from behave import then

from standins import site

PACKAGE_PATH = site.ROOT / "monsoonhoist"


def read_sources(folder=""):
    """Returns the source of each module in a folder, by its path within the package."""
    return {
        path.relative_to(PACKAGE_PATH): path.read_text(encoding="utf-8")
        for path in sorted((PACKAGE_PATH / folder).rglob("*.py"))
    }


@then('no module outside "{folder}" contains one of the names')
def check_names(context, folder):
    """Searches the modules outside a folder for texts."""
    names = [row["name"] for row in context.table]
    occurrences = [
        (str(path), name)
        for path, text in read_sources().items()
        if path.parts[0] != folder
        for name in names
        if name in text
    ]
    assert not occurrences, occurrences


@then('"{folder}" contains less than {percent:d}% of the lines of the program')
def check_share(context, folder, percent):
    """Checks the share of lines in a folder."""
    folder_lines = sum(text.count("\n") for text in read_sources(folder).values())
    total_lines = sum(text.count("\n") for text in read_sources().values())
    assert folder_lines * 100 < total_lines * percent, (folder_lines, total_lines)


@then('no module in "{folders}" imports one of')
def check_imports(context, folders):
    """Searches the modules in some folders for imports."""
    names = [row["module"] for row in context.table]
    imports = [
        (str(path), name)
        for folder in folders.split(", ")
        for path, text in read_sources(folder).items()
        for name in names
        if re.search(rf"^(import|from) {re.escape(name)}\b", text, re.MULTILINE)
    ]
    assert not imports, imports


@then("each module has at most {most:d} lines")
def check_lengths(context, most):
    """Checks the number of lines of each module."""
    excessive_lengths = {
        str(path): text.count("\n")
        for path, text in read_sources().items()
        if text.count("\n") > most
    }
    assert not excessive_lengths, excessive_lengths
