"""Traces of kernel events, and their replay.

A trace is a file of JSON lines: a header, then one line for each event with its time and the
resulting commands. A replay passes the events to a new kernel, whose clock is set to the
recorded times; the commands must be equal to the recorded ones. Fields that records have gained
since the recording have their defaults in it.
"""

import enum
from collections.abc import Iterable

import msgspec

from monsoonhoist import decoding, errors
from monsoonhoist.core import clock, data, diagnostics
from monsoonhoist.kernels import kernel
from monsoonhoist.protocol import events


class Role(enum.Enum):
    """Kernel that handles an event."""

    ENTRY = "entry"
    OWNER = "owner"


class Header(msgspec.Struct, frozen=True):
    """First line of a trace: the instance, its availability zone and its policies.

    The options of the kernel are not recorded; a replay uses the defaults.
    """

    instance: data.InstanceId
    zone: data.ZoneId
    policies: kernel.PolicyNames


class Step(msgspec.Struct, frozen=True):
    """A further line of a trace: one event.

    Attributes:
        at: When the event was handled, in monotonic seconds.
        role: Kernel that handled it.
        event: The event, as encoded JSON.
        commands: The resulting commands, as encoded JSON.
    """

    at: float
    role: Role
    event: msgspec.Raw
    commands: msgspec.Raw


class Replay(msgspec.Struct, frozen=True):
    """Result of a replay.

    Attributes:
        steps: Number of events replayed.
        answers: Answers to callers, in order.
        findings: Lines whose commands differ from the recorded ones, and malformed lines.
    """

    steps: int
    answers: tuple[data.Answer, ...]
    findings: tuple[diagnostics.Finding, ...]


def encode_header(header: Header) -> bytes:
    """Returns the encoded first line of a trace."""
    return msgspec.json.encode(header) + b"\n"


def encode_step(at: float, role: Role, event: object, commands: list[events.Command]) -> bytes:
    """Returns the encoded line of an event.

    Args:
        at: When the event was handled, in monotonic seconds.
        role: Kernel that handled it.
        event: The event.
        commands: The resulting commands.
    """
    step = Step(
        at,
        role,
        msgspec.Raw(msgspec.json.encode(event)),
        msgspec.Raw(msgspec.json.encode(commands)),
    )
    return msgspec.json.encode(step) + b"\n"


def replay(file: str, lines: Iterable[bytes]) -> Replay:
    """Replays a trace.

    Args:
        file: Name used in findings.
        lines: Lines of the trace.

    Returns:
        The answers, and the differences from the recording. A malformed line ends the replay.
    """
    source = iter(lines)
    findings: list[diagnostics.Finding] = []
    answers: list[data.Answer] = []
    line_number = 1
    try:
        replayer = _Replayer(decoding.decode_json(next(source, b""), Header))
        for line in source:
            line_number += 1
            step = decoding.decode_json(line, Step)
            commands = replayer.run_step(step)
            answers.extend(
                command.answer for command in commands if isinstance(command, events.Respond)
            )
            if commands != decoding.decode_json(step.commands, list[events.Command]):
                place = diagnostics.Place(file, step.role.value, line_number)
                findings.append(
                    diagnostics.Finding(place, "the commands differ from the recorded ones")
                )
    except (errors.MalformedInputError, errors.UnknownPolicyError) as error:
        place = diagnostics.Place(file, line=line_number)
        findings.append(diagnostics.Finding(place, f"malformed line: {error}"))
        line_number -= 1
    return Replay(max(0, line_number - 1), tuple(answers), tuple(findings))


class _Replayer:
    """A kernel on a manual clock, which handles the events of a trace."""

    def __init__(self, header: Header):
        self._clock = clock.ManualClock()
        self._kernel = kernel.make_kernel(
            header.instance, header.zone, self._clock, header.policies
        )

    def run_step(self, step: Step) -> list[events.Command]:
        """Handles an event at its recorded time and returns the commands."""
        self._clock.now_seconds = step.at
        if step.role is Role.ENTRY:
            entry_event = decoding.decode_json(step.event, events.EntryEvent)
            return self._kernel.entry.handle(entry_event)
        owner_event = decoding.decode_json(step.event, events.OwnerEvent)
        return self._kernel.owner.handle(owner_event)
