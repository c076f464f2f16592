"""Report of a red test run: what was expected and seen, and where the logs are."""

import os
import pathlib
import re

from behave.model_type import Status
from behave.reporter.base import Reporter

# Variable of the environment with the file to write; no report is written without it.
PATH_VARIABLE = "FAILURE_REPORT"
# Most characters of a failure's message that are shown.
MESSAGE_CHARS_MAX = 1500
# Most requests of a scenario, the latest ones, whose ids are shown.
REQUESTS_MAX = 5
FAILED_STATUSES = (Status.failed, Status.error, Status.hook_error, Status.cleanup_error)
_PROMISE_PATTERN = re.compile(r"^[A-Z]{4,}: .*$", re.MULTILINE)
_LOGS_PATTERN = re.compile(r"\blogs in (\S+)")


class FailureReporter(Reporter):
    """Writes a block with all failures to a file, after each feature that has some.

    Args:
        config: Configuration of behave.
        path: File to write.
    """

    def __init__(self, config, path):
        super().__init__(config)
        self._path = pathlib.Path(path)
        self._count = 0
        self._path.write_text("", encoding="utf-8")

    def feature(self, feature):
        """Adds the failures of a feature."""
        scenarios = [each for each in feature.walk_scenarios() if each.status in FAILED_STATUSES]
        is_failed_itself = feature.status in FAILED_STATUSES and not scenarios
        for item in [feature] if is_failed_itself else scenarios:
            self._count += 1
            with self._path.open("a", encoding="utf-8") as file:
                file.write(f"{self._count}. {describe(item)}")


def register(config):
    """Adds the reporter to the configuration of behave if the environment names its file."""
    path = os.environ.get(PATH_VARIABLE)
    if path:
        config.reporters.append(FailureReporter(config, path))


def note_evidence(item, folder, request_ids=()):
    """Notes on a feature or scenario what helps to find the cause if it fails.

    Args:
        item: The feature or scenario.
        folder: Folder with the logs of its deployment.
        request_ids: Ids of the requests that it has sent.
    """
    item.log_folder = folder
    item.request_ids = tuple(request_ids)


def describe(item):
    """Returns the text about a feature or scenario that failed."""
    steps = [step for step in getattr(item, "steps", ()) if step.status in FAILED_STATUSES]
    failed = steps[0] if steps else item
    expected = f"{failed.keyword} {failed.name}" if steps else "that it can be started and stopped"
    message = str(failed.error_message or failed.exception or "no message; see the output above")
    # The whole message is searched, since only its start and its end are shown.
    promises = _PROMISE_PATTERN.findall(message)
    folders = _LOGS_PATTERN.findall(message)
    # A deployment may have been started for the whole feature.
    for owner in (item, getattr(item, "feature", None)):
        folder = getattr(owner, "log_folder", None)
        folders += [str(folder)] if folder else []
    rows = [
        ("expected", expected),
        ("seen", shorten(message)),
        ("broken promises", "\n".join(promises)),
        ("requests", ", ".join(getattr(item, "request_ids", ())[-REQUESTS_MAX:])),
        ("logs", ", ".join(dict.fromkeys(folders))),
    ]
    lines = [f"{item.location}  {item.name}"]
    for title, text in rows:
        indented = text.strip().replace("\n", "\n      ")
        lines += [f"   {title}: {indented}"] if indented else []
    return "\n".join(lines) + "\n"


def shorten(message):
    """Returns a message without its middle if it is long."""
    if len(message) <= MESSAGE_CHARS_MAX:
        return message
    half = MESSAGE_CHARS_MAX // 2
    return f"{message[:half]}\n[{len(message) - 2 * half} characters]\n{message[-half:]}"
