"""Account of one request, put together from the logs of several instances."""

import datetime
import pathlib
import statistics
from collections.abc import Iterable

import msgspec

_NUMBER_FIELDS = ("latency_ms", "left_ms", "parts")
_TEXT_FIELDS = ("route", "service", "server", "reason", "outcome")


class LogLine(msgspec.Struct, frozen=True):
    """A line of a log, as far as an account needs it.

    Attributes:
        time: Wall time as logged, in seconds since the epoch.
        at: Steady time of the instance, in seconds.
        instance: The instance.
        message: What happened.
        fields: All fields of the line.
    """

    time: float
    at: float
    instance: str
    message: str
    fields: dict[str, object]


class Explanation(msgspec.Struct, frozen=True):
    """What the logs tell of a request.

    Attributes:
        lines: Lines of the account, in the order of time.
        cause: The cause in one line.
        left_out: Number of log lines that the instances said they left out.
    """

    lines: tuple[str, ...]
    cause: str
    left_out: int


def explain(request_id: str, paths: Iterable[pathlib.Path]) -> Explanation | None:
    """Returns the account of a request, or None if no log knows it.

    Raises:
        OSError: If a log cannot be read.
    """
    found: list[LogLine] = []
    left_out = 0
    for path in paths:
        lines = _read_log(path)
        left_out += sum(
            int(line.fields.get("lines", 0))
            for line in lines
            if line.message == "log lines left out"
        )
        found += _align_clocks(lines, request_id)
    if not found:
        return None
    found.sort(key=lambda line: line.time)
    start = found[0].time
    shown = tuple(_format_line(line, start) for line in found)
    return Explanation(shown, _find_cause(found), left_out)


def _read_log(path: pathlib.Path) -> list[LogLine]:
    """Returns the lines of a log; what is no line of ours is passed over."""
    lines: list[LogLine] = []
    for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
        start = text.find("{")
        try:
            fields = msgspec.json.decode(text[start:].encode()) if start >= 0 else None
            moment = datetime.datetime.fromisoformat(fields["time"]) if fields else None
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            continue
        if moment is None or "at" not in fields:
            continue
        line = LogLine(
            moment.timestamp(),
            float(fields["at"]),
            str(fields.get("instance", "")),
            str(fields.get("message", "")),
            fields,
        )
        lines.append(line)
    return lines


def _align_clocks(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Returns a request's lines with times that jumps of the wall clock do not touch.

    Each process has a steady clock; its usual distance from the wall clock, over all lines
    of the process, puts the steady times of several instances side by side.
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


def _format_line(line: LogLine, start: float) -> str:
    """Returns a line of the account."""
    fields = line.fields
    words = [f"{name}={fields[name]}" for name in _TEXT_FIELDS if fields.get(name)]
    words += [f"{name}={fields[name]}" for name in _NUMBER_FIELDS if fields.get(name)]
    if fields.get("missing"):
        words.append(f"missing={','.join(map(str, fields['missing']))}")
    for choice in fields.get("choices") or ():
        words.append(
            "choice={server}(in_flight={outstanding},slowness={slowness:.2f},"
            "failing={failure_share:.2f})".format(**choice)
        )
    milliseconds = (line.time - start) * 1000
    return f"{milliseconds:9.1f} ms  {line.instance}  {line.message}  {' '.join(words)}".rstrip()


def _find_cause(lines: list[LogLine]) -> str:
    """Returns the cause of a request's end, from its last lines and failed calls."""
    ends = [line for line in lines if line.message in ("answered", "abandoned")]
    if not ends:
        return "the logs hold no end of the request"
    end = ends[-1].fields
    if ends[-1].message == "abandoned":
        return "the caller left before the answer"
    outcome, reason = end.get("outcome", ""), end.get("reason", "")
    if outcome == "answered":
        return "the request was answered whole"
    missing = [str(service) for service in end.get("missing") or ()]
    details = [_describe_last_event(lines, service) for service in missing[:3]]
    shown = "; ".join(detail for detail in details if detail)
    text = f"{outcome} because of {reason or 'no recorded reason'}"
    if missing:
        text += f": {len(missing)} shards gave nothing in time"
    return f"{text} ({shown})" if shown else text


def _describe_last_event(lines: list[LogLine], service: str) -> str:
    """Returns what was last heard of a shard."""
    own = [line for line in lines if line.fields.get("service") == service]
    if not own:
        return f"{service}: never called"
    last = own[-1].fields
    reason = f", {last['reason']}" if last.get("reason") else ", no answer"
    server = f" at {last['server']}" if last.get("server") else ""
    return f"{service}: {own[-1].message}{server}{reason}"
