"""Writer of a trace: kernel events and commands as JSON lines."""

import pathlib

from monsoonhoist.core import clock, data
from monsoonhoist.kernels import kernel, traces
from monsoonhoist.protocol import events


class TraceWriter:
    """Writes a trace of one instance's kernels.

    Args:
        path: File to write; a pipe or a file in memory on instances without disks.
        instance: Name of the instance.
        zone: Availability zone of the instance.
        policy_names: Names of the policies in use.
        time_source: The clock of the kernels.
    """

    def __init__(
        self,
        path: pathlib.Path,
        instance: data.InstanceId,
        zone: data.ZoneId,
        policy_names: kernel.PolicyNames,
        time_source: clock.Clock,
    ):
        self._clock = time_source
        self._file = path.open("wb", buffering=0)
        self._file.write(traces.encode_header(traces.Header(instance, zone, policy_names)))

    def record(self, role: traces.Role, event: object, commands: list[events.Command]) -> None:
        """Writes an event and the commands that the kernel returned for it."""
        self._file.write(traces.encode_step(self._clock.monotonic(), role, event, commands))

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
