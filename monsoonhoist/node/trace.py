"""Recording of kernel events and commands as JSON lines."""

import pathlib

from monsoonhoist.core import clock, data, events, kernel, traces


class TraceWriter:
    """Writes a trace of one instance's kernels.

    Args:
        path: Where to write; a pipe or a memory file system on instances without disks.
        instance: The instance.
        zone: Its availability zone.
        names: Policies in use.
        time_source: The kernels' clock.
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
        """Writes one event with the commands that it led to."""
        self._file.write(traces.encode_step(self._clock.monotonic(), role, event, commands))

    def close(self) -> None:
        """Ends the trace."""
        self._file.close()
