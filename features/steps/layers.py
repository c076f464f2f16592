"""Steps that check the source of the program."""

import ast
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


def find_imports(text):
    """Returns the folders and modules of the program that a source imports, by their first name."""
    imported = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            imported.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported.update(f"{node.module}.{alias.name}" for alias in node.names)
    prefix = f"{PACKAGE_PATH.name}."
    return {name.split(".")[1] for name in imported if name.startswith(prefix)}


@then("each folder or module imports only those before it in this list")
def check_order(context):
    """Compares the imports of each module with the order of the table."""
    names = [row["name"] for row in context.table]
    wrong = []
    for path, text in read_sources().items():
        name = path.parts[0].removesuffix(".py")
        if name == "__init__":
            continue
        assert name in names, f"{path} is not in the list"
        allowed = {*names[: names.index(name)], name}
        wrong += [(str(path), imported) for imported in find_imports(text) - allowed]
    assert not wrong, wrong


@then("each module has at most {most:d} lines")
def check_lengths(context, most):
    """Checks the number of lines of each module."""
    excessive_lengths = {
        str(path): text.count("\n")
        for path, text in read_sources().items()
        if text.count("\n") > most
    }
    assert not excessive_lengths, excessive_lengths
