"""Steps that test the merging of results and the declared dependencies."""

import tomllib

from behave import then, when

from monsoonhoist.policy import merge
from standins import site


@when('the records "{names}" are merged and the {count:d} greatest kept')
def merge_records(context, names, count):
    """Merges records that each repeat one letter."""
    records = [name.encode() * 16 for name in names.split(", ")]
    context.merged_records = merge.find_policy("greatest-records").best(records, count)


@then('the merged records are "{names}"')
def check_merged(context, names):
    """Checks the merged records and their order."""
    assert context.merged_records == tuple(name.encode() * 16 for name in names.split(", "))


@then("the program declares each package of the deployment with the same version")
def check_dependencies(context):
    """Checks that each line of ``deploy/requirements.txt`` is a dependency of the project."""
    requirements = (site.ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8")
    project = tomllib.loads((site.ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    missing = set(requirements.split()) - set(project["project"]["dependencies"])
    assert not missing, missing
