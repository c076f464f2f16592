"""Command of the soak: ``python -m soak --seed N --seconds S --instances I [--returns]``.

With ``--dialect native``, the number of instances is fixed and ``--instances`` has no effect. With
``--returns``, the store or the configuration service also comes back from older copies; all other
faults of a seed are the same as without.
"""

import argparse
import errno
import signal
import sys

from soak import native, plan, platform, return_plan

PLATFORM = "platform"
NATIVE = "native"


def main() -> None:
    """Runs one seed; exits with 1 if a rule was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--dialect", choices=(PLATFORM, NATIVE), default=PLATFORM)
    parser.add_argument("--returns", action="store_true")
    options = parser.parse_args()
    # Exiting by exception lets an interrupted soak end the processes that it started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    try:
        run(options)
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        sys.exit(f"{error}\nRuns beside each other need different values of TEST_PORT_BASE.")


def run(options: argparse.Namespace) -> None:
    """Runs one seed with the options of the command line, and exits."""
    if options.dialect == NATIVE:
        sys.exit(1 if native.run(options.seed, options.seconds, options.returns) else 0)
    fault_plan = plan.make_plan(options.seed, options.seconds, options.instances)
    if options.returns:
        fault_plan = return_plan.add_returns(fault_plan)
    print(fault_plan.describe(), flush=True)
    violations = platform.run(fault_plan)
    for violation in violations:
        print(f"{violation.rule}: {violation.detail}")
    print(
        f"seed {options.seed}: {len(fault_plan.faults)} faults, {len(violations)} broken promises"
    )
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
