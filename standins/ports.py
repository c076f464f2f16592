"""Loopback ports of the deployments that tests, the soak and measurements start.

All of them follow from one base, so that several test runs can run beside each other with different
values of ``TEST_PORT_BASE``. The ports lie in three groups, ``BASE`` + 0 to 306, 1,000 to 2,213 and
6,000 to 6,699. The bases 20,000, 20,700 and 21,400 do not overlap, nor do those that lie a multiple
of 4,000 below. The ports of a fleet must stay below those that the system gives to outgoing
connections (32,768 and up by default).
"""

import os
import re

DEFAULT_BASE = 20_000
BASE = int(os.environ.get("TEST_PORT_BASE", str(DEFAULT_BASE)))
# Deployments of the native dialect, at 127.0.0.1.
CONFIG_SERVICE_PORT = BASE
HTTP_PORT_BASE = BASE + 100
PEER_PORT_BASE = BASE + 200
# Deployments on the users' platform, at 127.0.1.N and 127.0.2.1. ``FLEET_PORT_BASE`` gives their
# first port apart from the base.
FLEET_PORT_BASE = int(os.environ.get("FLEET_PORT_BASE", str(BASE + 6_000)))

_ADDRESS_PATTERN = re.compile(r"^(address = .*:)(\d+)$", re.MULTILINE)


def shift_addresses(text: str) -> str:
    """Moves the ports in the table of a pool, which are written for ``DEFAULT_BASE``."""
    return _ADDRESS_PATTERN.sub(
        lambda match: f"{match[1]}{int(match[2]) + BASE - DEFAULT_BASE}", text
    )


def own_host() -> str:
    """Returns a loopback address that only this process uses.

    A free port that is chosen first and bound later cannot be taken by another process there.
    """
    number = os.getpid()
    return f"127.{64 + (number >> 16 & 63)}.{number >> 8 & 255}.{number & 255}"
