"""Steps that check the declared dependencies."""

import tomllib

from behave import then

from standins import site


@then("the program declares each package of the deployment with the same version")
def check_dependencies(context):
    """Checks that each line of ``deploy/requirements.txt`` is a dependency of the project."""
    requirements = (site.ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8")
    project = tomllib.loads((site.ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    missing = set(requirements.split()) - set(project["project"]["dependencies"])
    assert not missing, missing
