"""Entry point of the command line, installed as ``monsoonhoist``."""

import signal
import sys


def main() -> None:
    """Runs the command line."""
    if sys.argv[1:2] == ["serve"]:
        # The settings are read later, so that a signal to read them again has nothing to do. It
        # must not end the process while the modules are loaded.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from monsoonhoist import cli

    cli.main()


if __name__ == "__main__":
    main()
