"""Serves as the platform starts it: settings from the file that the environment names.

The command line's other tools are not imported, since each instance would hold them.
"""

import os
import pathlib
import sys

from monsoonhoist import errors
from monsoonhoist.node import process

SETTINGS_FILE_VARIABLE = "MONSOONHOIST_NODE_FILE"
EXIT_FINDINGS = 1


def main() -> None:
    """Serves until the process is told to end; ends at once if the settings are wrong."""
    try:
        process.run(pathlib.Path(os.environ[SETTINGS_FILE_VARIABLE]), "info", None)
    except errors.SettingsError as error:
        print("\n".join(finding.describe() for finding in error.findings), file=sys.stderr)
        sys.exit(EXIT_FINDINGS)


if __name__ == "__main__":
    main()
