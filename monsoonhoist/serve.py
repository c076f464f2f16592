"""Entry point with which the platform starts an instance.

The path of the settings file is read from an environment variable. The other commands of the
command line are not imported, since they would take memory in each instance.
"""

import os
import pathlib
import signal
import sys

from monsoonhoist import errors

SETTINGS_FILE_VARIABLE = "MONSOONHOIST_NODE_FILE"
EXIT_FINDINGS = 1


def main() -> None:
    """Serves until the process is terminated; exits immediately if the settings have errors."""
    # Until the settings are read, a signal to read them again has nothing to do. It must not end
    # the process while the modules below are loaded.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from monsoonhoist.node import process

    try:
        process.run(pathlib.Path(os.environ[SETTINGS_FILE_VARIABLE]), "info", None)
    except errors.SettingsError as error:
        print("\n".join(finding.describe() for finding in error.findings), file=sys.stderr)
        sys.exit(EXIT_FINDINGS)


if __name__ == "__main__":
    main()
