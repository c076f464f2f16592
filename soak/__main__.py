"""Command of the soak: ``python -m soak --seed N --seconds S --instances I``."""

import argparse
import signal
import sys

from soak import native, plan, platform

PLATFORM = "platform"
NATIVE = "native"


def main() -> None:
    """Plays one seed; exits with 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--dialect", choices=(PLATFORM, NATIVE), default=PLATFORM)
    options = parser.parse_args()
    # An interrupted soak ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    if options.dialect == NATIVE:
        sys.exit(1 if native.run(options.seed, options.seconds) else 0)
    chosen = plan.make(options.seed, options.seconds, options.instances)
    print(chosen.describe(), flush=True)
    broken = platform.run(chosen)
    for found in broken:
        print(f"{found.rule}: {found.detail}")
    print(f"seed {options.seed}: {len(chosen.faults)} faults, {len(broken)} broken promises")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
