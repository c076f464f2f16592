"""Traces of kernel events, and their replay.

A trace is JSON lines: a header, then one step for each event with its time and the
commands that it led to. Replay gives the events to a new kernel at the recorded times;
the commands must be the same byte for byte.
"""

import enum
from collections.abc import Iterable

import msgspec

from monsoonhoist.core import clock, data, events, kernel


class Role(enum.Enum):
    """Kernel that an event is for."""

    ENTRY = "entry"
    OWNER = "owner"


class Header(msgspec.Struct, frozen=True):
    """First line of a trace."""

    instance: data.InstanceId
    zone: data.ZoneId
    policies: kernel.PolicyNames


class Step(msgspec.Struct, frozen=True):
    """One further line of a trace.

    Attributes:
        at: Time of the event, in monotonic seconds.
        role: Kernel that took it.
        event: The event.
        commands: The commands, as written.
    """

    at: float
    role: Role
    event: msgspec.Raw
    commands: msgspec.Raw


class Replay(msgspec.Struct, frozen=True):
    """Result of a replay.

    Attributes:
        steps: Events given to the kernels.
        answers: Answers that the kernels gave, in order.
        findings: Steps whose commands differ, with their line.
    """

    steps: int
    answers: tuple[data.Answer, ...]
    findings: tuple[data.Finding, ...]


def encode_header(header: Header) -> bytes:
    """Returns the first line of a trace."""
    return msgspec.json.encode(header) + b"\n"


def encode_step(at: float, role: Role, event: object, commands: list[events.Command]) -> bytes:
    """Returns one line of a trace."""
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
        What the kernels answered, and where they did otherwise than recorded.
    """
    source = iter(lines)
    findings: list[data.Finding] = []
    answers: list[data.Answer] = []
    steps = 0
    try:
        header = msgspec.json.decode(next(source, b""), type=Header)
        replayer = _Replayer(header)
        for number, line in enumerate(source, start=2):
            step = msgspec.json.decode(line, type=Step)
            commands = replayer.take(step)
            steps += 1
            answers.extend(found.answer for found in commands if isinstance(found, events.Respond))
            if msgspec.json.encode(commands) != bytes(step.commands):
                place = data.Place(file, step.role.value, number)
                findings.append(data.Finding(place, "the commands differ from the recorded ones"))
    except msgspec.MsgspecError as error:
        place = data.Place(file, line=steps + 1)
        findings.append(data.Finding(place, f"malformed line: {error}"))
    return Replay(steps, tuple(answers), tuple(findings))


class _Replayer:
    """Kernels that take a trace's events at the recorded times."""

    def __init__(self, header: Header):
        self._clock = clock.ManualClock()
        self._kernel = kernel.make_kernel(
            header.instance, header.zone, self._clock, header.policies
        )

    def take(self, step: Step) -> list[events.Command]:
        """Gives a step's event to its kernel and returns the commands."""
        self._clock.now_seconds = step.at
        if step.role is Role.ENTRY:
            entry_event = msgspec.json.decode(step.event, type=events.EntryEvent)
            return self._kernel.entry.handle(entry_event)
        owner_event = msgspec.json.decode(step.event, type=events.OwnerEvent)
        return self._kernel.owner.handle(owner_event)
