"""Deployment for the cases: instances as the deploy file starts them, on free loopback ports."""

import os
import pathlib
import random
import shutil
import socket
import subprocess
import sys
import time
import tomllib
import traceback
from collections.abc import Callable

PORTS_PER_DEPLOYMENT = 300
PORT_RANGE = (20_000, 31_000)
# Offsets of the ports that a deployment listens on, from the first port of its range.
PORT_OFFSETS = (1, 2, 3, 4, 100, *range(200, 220))

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def _choose_port_base() -> int:
    """Returns the first of a range of ports that are free at all addresses."""
    for _ in range(100):
        base = random.randrange(*PORT_RANGE, PORTS_PER_DEPLOYMENT)
        if all(_is_free(base + offset) for offset in PORT_OFFSETS):
            return base
    raise RuntimeError("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True


# The stand-in reads this variable when it is imported.
os.environ["FLEET_PORT_BASE"] = str(_choose_port_base())

from standins import fleet, shards, site, store  # noqa: E402

# Values of the site file ``bootplan``.
VALUE_BY_PLACEHOLDER = {
    "Bootstrap": "true",
    "Limits.CpuShare": "0.537",
    "Limits.Cores": "2",
    "Bounds.RetryRatio": "0.2",
    "Bounds.RetrySlack": "52",
    "Bounds.RetryWindowS": "10",
}


class Deployment(fleet.Fleet):
    """A deployment whose instances are started with the command of the deploy file.

    Args:
        instances: Number of instances.
        server_class: Class of the backend servers.
    """

    def __init__(
        self, instances: int = 3, server_class: type[shards.ShardServer] = shards.ShardServer
    ):
        super().__init__(instances=instances)
        self._server_class = server_class

    async def _start_stand_ins(self) -> None:
        """Starts the store and the backend servers, and registers the servers with the store."""
        self.store = store.StoreStandIn()
        self.store.listen(*fleet.STORE_ADDRESS)
        port = fleet.SERVER_PORT_BASE
        for service in (*fleet.SHARDS, *fleet.SPARE_SHARDS, fleet.PLAIN_SERVICE):
            for letter in "ab":
                name = f"{service}-{letter}"
                server = self._server_class(name, fleet.SERVER_HOST, port, fleet.SLOTS)
                await server.start()
                self.server_by_name[name] = server
                self._service_by_server[name] = service
                self._register_server(name, "ready")
                port += 1

    def settings_of(self, number: int) -> str:
        """Returns the settings of an instance, with the values of the site file."""
        return fleet.settings_text(number, self.cell_size, VALUE_BY_PLACEHOLDER)

    def start_instance(self, number: int) -> None:
        """Starts one instance as the platform does."""
        path = self.folder / f"instance-{number}.ini"
        path.write_text(self.settings_of(number), encoding="utf-8")
        deploy_file = tomllib.loads((site.ROOT / "deploy" / "system.toml").read_text())
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(site.ROOT / "target" / "deps"),
            "MONSOONHOIST_NODE_FILE": str(path),
        }
        with (self.folder / f"instance-{number}.log").open("ab") as log:
            self.process_by_number[number] = subprocess.Popen(
                deploy_file["roles"]["instance"]["run"].split(),
                cwd=site.ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def stop(self) -> None:
        """Ends all processes and stand-ins, and removes the temporary folder."""
        super().stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """The file ``record.txt`` of a case.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line, with the time since the start in seconds."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f}  {text}\n")
        self._file.flush()


def is_troubled() -> bool:
    """Returns whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    script: str,
    deployment: Deployment,
    play: Callable[[Deployment, Record], bool],
    prepare: Callable[[Deployment], None] = lambda _: None,
) -> None:
    """Plays a case and exits with its result.

    Args:
        script: Path of the case's program.
        deployment: The deployment, which is started and stopped here.
        play: Plays the case; returns whether the rule was broken.
        prepare: Called before the start.
    """
    record = Record(pathlib.Path(script).parent)
    status = EXIT_NOT_RUN
    try:
        prepare(deployment)
        deployment.start()
        record.write(f"all instances are ready; disruption: {is_troubled()}")
        status = EXIT_BROKEN if play(deployment, record) else EXIT_HELD
    except (Exception, KeyboardInterrupt):
        record.write(traceback.format_exc())
    finally:
        try:
            deployment.stop()
        except Exception:
            record.write(traceback.format_exc())
    result = {EXIT_HELD: "held", EXIT_BROKEN: "broken", EXIT_NOT_RUN: "not run"}[status]
    record.write(f"result: the rule was {result}")
    print(result)
    sys.exit(status)
