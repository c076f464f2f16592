"""Steps of merging, and of the declared packages."""

import tomllib

from behave import then, when

from monsoonhoist.policy import merge
from standins import site


@when('the records "{names}" are merged to the {count:d} greatest')
def merge_records(context, names, count):
    """Merges records made of one letter each."""
    records = [name.encode() * 16 for name in names.split(", ")]
    context.merged = merge.find_policy("greatest-records").best(records, count)


@then('the merged records are "{names}"')
def check_merged(context, names):
    """Checks the records and their order."""
    assert context.merged == tuple(name.encode() * 16 for name in names.split(", "))


@then("each package of the deployment is declared with the same version by the program")
def check_packages(context):
    """Compares the two lists."""
    text = (site.ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8")
    project = tomllib.loads((site.ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    missing = set(text.split()) - set(project["project"]["dependencies"])
    assert not missing, missing
