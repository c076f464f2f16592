"""Explanation of one request, compiled from the logs of several instances."""

import datetime
import pathlib
import statistics
from collections.abc import Iterable

import msgspec

# Fields of a log line that are shown in an explanation unless they are empty or zero.
_NUMBER_FIELDS = ("latency_ms", "left_ms", "parts")
_TEXT_FIELDS = ("route", "service", "server", "reason", "outcome")


class LogLine(msgspec.Struct, frozen=True):
    """A log line with the fields that an explanation needs.

    Attributes:
        time: Wall-clock time in seconds since the epoch, as logged or, after ``_align_clocks``,
            computed from ``at``.
        at: Monotonic time of the instance, in seconds.
        instance: Name of the instance.
        message: Log message, which names the step of the request.
        fields: All fields of the line.
    """

    time: float
    at: float
    instance: str
    message: str
    fields: dict[str, object]


class Explanation(msgspec.Struct, frozen=True):
    """Steps of a request and the cause of its outcome.

    Attributes:
        lines: Formatted steps, ordered by time.
        cause: Cause of the outcome, in one line.
        left_out: Number of log lines that the instances reported as dropped.
    """

    lines: tuple[str, ...]
    cause: str
    left_out: int


def explain(request_id: str, paths: Iterable[pathlib.Path]) -> Explanation | None:
    """Returns the explanation of a request, or None if no log mentions the request.

    Raises:
        OSError: If a log cannot be read.
    """
    request_lines: list[LogLine] = []
    left_out = 0
    for path in paths:
        lines = _read_log(path)
        left_out += sum(
            int(line.fields.get("lines", 0))
            for line in lines
            if line.message == "log lines left out"
        )
        request_lines += _align_clocks(lines, request_id)
    if not request_lines:
        return None
    request_lines.sort(key=lambda line: line.time)
    start_time = request_lines[0].time
    formatted = tuple(_format_line(line, start_time) for line in request_lines)
    return Explanation(formatted, _find_cause(request_lines), left_out)


def _read_log(path: pathlib.Path) -> list[LogLine]:
    """Returns the lines of a log; lines that were not written by an instance are skipped."""
    lines: list[LogLine] = []
    for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
        json_start = text.find("{")
        try:
            fields = msgspec.json.decode(text[json_start:].encode()) if json_start >= 0 else None
            wall_time = datetime.datetime.fromisoformat(fields["time"]) if fields else None
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            continue
        if wall_time is None or "at" not in fields:
            continue
        line = LogLine(
            wall_time.timestamp(),
            float(fields["at"]),
            str(fields.get("instance", "")),
            str(fields.get("message", "")),
            fields,
        )
        lines.append(line)
    return lines


def _align_clocks(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Returns the lines of a request with times that are immune to jumps of the wall clock.

    Each process has its own monotonic clock. The median offset between its monotonic and its
    wall clock, over all lines of the process, converts the monotonic times of several
    instances to one time scale.
    """
    lines_by_process: dict[object, list[LogLine]] = {}
    for line in lines:
        lines_by_process.setdefault(line.fields.get("incarnation"), []).append(line)
    aligned: list[LogLine] = []
    for group in lines_by_process.values():
        offset = statistics.median(line.time - line.at for line in group)
        aligned += [
            msgspec.structs.replace(line, time=line.at + offset)
            for line in group
            if line.fields.get("request_id") == request_id
        ]
    return aligned


def _format_line(line: LogLine, start_time: float) -> str:
    """Returns a step as text, with its time since the start of the request."""
    fields = line.fields
    parts = [f"{name}={fields[name]}" for name in _TEXT_FIELDS if fields.get(name)]
    parts += [f"{name}={fields[name]}" for name in _NUMBER_FIELDS if fields.get(name)]
    if fields.get("missing"):
        parts.append(f"missing={','.join(map(str, fields['missing']))}")
    for choice in fields.get("choices") or ():
        parts.append(
            "choice={server}(in_flight={outstanding},slowness={slowness:.2f},"
            "failing={failure_share:.2f})".format(**choice)
        )
    milliseconds = (line.time - start_time) * 1000
    return f"{milliseconds:9.1f} ms  {line.instance}  {line.message}  {' '.join(parts)}".rstrip()


def _find_cause(lines: list[LogLine]) -> str:
    """Returns the cause of a request's outcome, with the last step of some missing shards."""
    end_lines = [line for line in lines if line.message in ("answered", "abandoned")]
    if not end_lines:
        return "the logs do not contain the end of the request"
    end_fields = end_lines[-1].fields
    if end_lines[-1].message == "abandoned":
        return "the caller left before the answer"
    outcome, reason = end_fields.get("outcome", ""), end_fields.get("reason", "")
    if outcome == "answered":
        return "the request received a complete answer"
    missing = [str(service) for service in end_fields.get("missing") or ()]
    details = [_describe_last_step(lines, service) for service in missing[:3]]
    detail_text = "; ".join(detail for detail in details if detail)
    text = f"{outcome} because of {reason or 'no recorded reason'}"
    if missing:
        text += f": {len(missing)} shards returned no results in time"
    return f"{text} ({detail_text})" if detail_text else text


def _describe_last_step(lines: list[LogLine], service: str) -> str:
    """Returns the last logged step of a shard as text."""
    shard_lines = [line for line in lines if line.fields.get("service") == service]
    if not shard_lines:
        return f"{service}: never called"
    last_fields = shard_lines[-1].fields
    reason = f", {last_fields['reason']}" if last_fields.get("reason") else ", no answer"
    server = f" at {last_fields['server']}" if last_fields.get("server") else ""
    return f"{service}: {shard_lines[-1].message}{server}{reason}"
