"""Logging of JSON lines to standard output, bounded and without blocking requests.

Lines are put into a bounded buffer, which is written without blocking. If standard output is
not read, the buffer fills up; then lines are dropped, those of lower levels before warnings.
A log line and a counter report the number of dropped lines.
"""

import collections
import datetime
import errno
import logging
import os
import sys
import time
from collections.abc import Callable

import msgspec

from monsoonhoist.core import data

BUFFER_LINES_MAX = 2000
# Rate limit of each logger for lines below the level warning; lines above the limit are dropped.
LINES_PER_SECOND_MAX = 400
# Delay in which lines accumulate before they are written together.
WRITE_DELAY_SECONDS = 0.02
# Interval between reports of the number of dropped lines.
REPORT_PERIOD_SECONDS = 5.0
# Longest text of a field. Callers choose some, such as the ids of their requests, and the buffer
# holds thousands of lines.
TEXT_LENGTH_MAX = 1000
# Attributes that ``logging`` itself sets on records. All others are fields from ``extra``.
_STANDARD_ATTRIBUTES = frozenset(logging.makeLogRecord({}).__dict__) | {
    "message",
    "asctime",
    "taskName",
}


class LineFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    Args:
        instance: Instance written to each line.
        incarnation: Incarnation written to each line.
    """

    def __init__(self, instance: data.InstanceId, incarnation: data.Incarnation):
        super().__init__()
        self._instance = instance
        self._incarnation = incarnation

    def format(self, record: logging.LogRecord) -> str:
        """Returns the JSON text of a record, without a line end."""
        created_at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        fields: dict[str, object] = {
            "time": created_at.isoformat(timespec="milliseconds"),
            "at": round(time.monotonic(), 4),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
            "instance": self._instance,
            "incarnation": self._incarnation,
        }
        fields.update(
            (name, _shorten(value))
            for name, value in record.__dict__.items()
            if name not in _STANDARD_ATTRIBUTES
        )
        if record.exc_info:
            fields["exc_info"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields, enc_hook=str).decode()


def _shorten(value: object) -> object:
    """Returns a text cut to ``TEXT_LENGTH_MAX`` characters; other values are unchanged."""
    return value[:TEXT_LENGTH_MAX] if isinstance(value, str) else value


class BufferHandler(logging.Handler):
    """Buffers lines until they can be written without blocking.

    Args:
        descriptor: File descriptor to write to; the handler makes it non-blocking.

    Attributes:
        dropped_count: Number of lines dropped since the start.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped_count = 0
        self._descriptor = descriptor
        self._lines: collections.deque[tuple[int, bytes]] = collections.deque()
        self._unwritten = b""
        self._counted_second = 0
        self._count_by_logger: collections.Counter[str] = collections.Counter()
        self._write_callback: Callable[[], None] | None = None

    def set_write_callback(self, callback: Callable[[], None] | None) -> None:
        """Sets the callback for new lines in the buffer; with None they are written at once."""
        self._write_callback = callback

    def emit(self, record: logging.LogRecord) -> None:
        """Adds a line to the buffer, or drops it if its logger exceeds the rate limit."""
        if record.levelno < logging.WARNING and self._is_over_rate(record):
            self.dropped_count += 1
            return
        self._lines.append((record.levelno, (self.format(record) + "\n").encode()))
        if len(self._lines) > BUFFER_LINES_MAX:
            self._drop_oldest_line()
        if self._write_callback is not None:
            self._write_callback()
        else:
            self.write()

    def write(self) -> bool:
        """Writes what can be written without blocking; returns whether the buffer is empty."""
        while self._lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = b"".join(line for _, line in self._lines)
                self._lines.clear()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno not in (errno.EPIPE, errno.EBADF):
                    raise
                # Standard output is closed.
                self.dropped_count += self._unwritten.count(b"\n")
                self._unwritten = b""
                continue
            self._unwritten = self._unwritten[written:]
        return True

    def _is_over_rate(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self._counted_second:
            self._counted_second = second
            self._count_by_logger.clear()
        self._count_by_logger[record.name] += 1
        return self._count_by_logger[record.name] > LINES_PER_SECOND_MAX

    def _drop_oldest_line(self) -> None:
        """Drops the oldest line of the lowest level in the buffer."""
        lowest = min(level for level, _ in self._lines)
        for index, (level, _) in enumerate(self._lines):
            if level == lowest:
                del self._lines[index]
                break
        self.dropped_count += 1


def configure(
    level: str, instance: data.InstanceId, incarnation: data.Incarnation
) -> BufferHandler:
    """Configures all loggers to write to standard output, one JSON object per line.

    Args:
        level: Name of the lowest level to log.
        instance: Instance written to each line.
        incarnation: Incarnation written to each line.

    Returns:
        The handler that buffers the lines.
    """
    handler = BufferHandler(sys.stdout.fileno())
    handler.setFormatter(LineFormatter(instance, incarnation))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("tornado.access").setLevel(logging.WARNING)
    return handler
