"""Counters of one instance.

The counts are plain numbers; OpenTelemetry reads them when the metrics are asked for, so
that counting is cheap and the exporter's libraries are held only where it is used. Every
refusal and retry reason has its own time series from the start, so that a reason that
never occurred reads as zero.
"""

import collections
import importlib
from typing import Protocol

from monsoonhoist.core import data
from monsoonhoist.tables import store

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

Labels = tuple[tuple[str, str], ...]


class Counter:
    """Counts by labels.

    Args:
        name: Name of the metric.
        description: What it counts.
        unit: Unit in UCUM, or empty.

    Attributes:
        count_by_labels: The counts.
    """

    def __init__(self, name: str, description: str, unit: str = ""):
        self.name = name
        self.description = description
        self.unit = unit
        self.count_by_labels: collections.Counter[Labels] = collections.Counter()

    def add(self, count: int, **labels: str) -> None:
        """Adds to the count with these labels."""
        self.count_by_labels[tuple(labels.items())] += count


class TextSource(Protocol):
    """What makes text of the counters."""

    def text(self) -> bytes:
        """Returns all metrics as Prometheus text."""


class Metrics:
    """Counters of one instance.

    Args:
        instance: Instance named as the resource.

    Attributes:
        instance: The instance.
        counter_by_name: All counters.
    """

    def __init__(self, instance: data.InstanceId):
        self.instance = instance
        self.counter_by_name: dict[str, Counter] = {}
        self._exporter: TextSource | None = None
        self._answers = self._make("answers", "Answers given")
        self._refusals = self._make("refusals", "Refused or lost work, by reason")
        self._retries = self._make("retries", "Sub-requests sent again, by reason")
        self._calls = self._make("backend_calls", "Calls to backend servers")
        self._sub_requests = self._make("sub_requests", "Sub-requests received by the owner")
        self._values = self._make("table_values", "Table values offered, by result")
        self._service_reads = self._make("service_reads", "Calls to the configuration service")
        self._stream_bytes = self._make("stream_bytes", "Bytes on instance streams", "By")
        self._late_replies = self._make("late_replies", "Replies dropped as late or duplicate")
        self._pauses = self._make("pauses", "Pauses of the process that were noticed")
        self._lines_left_out = self._make("log_lines_left_out", "Log lines left out")
        self._start_at_zero()

    def export(self) -> bytes:
        """Returns all metrics as Prometheus text; the exporter is made on first use."""
        if self._exporter is None:
            self._exporter = importlib.import_module("monsoonhoist.export").Exporter(self)
        return self._exporter.text()

    def _make(self, name: str, description: str, unit: str = "") -> Counter:
        counter = Counter(f"monsoonhoist_{name}", description, unit)
        self.counter_by_name[counter.name] = counter
        return counter

    def _start_at_zero(self) -> None:
        for refusal in data.Refusal:
            self._refusals.add(0, reason=refusal.value)
        for retry in data.RetryReason:
            self._retries.add(0, reason=retry.value)
        for outcome in data.Outcome:
            for rank in data.Rank:
                self._answers.add(0, outcome=outcome.value, rank=rank.value)
        for acceptance in store.Acceptance:
            self._values.add(0, result=acceptance.value)
        plain = (self._calls, self._sub_requests, self._late_replies, self._pauses)
        for counter in (*plain, self._lines_left_out):
            counter.add(0)

    def count_answer(self, outcome: data.Outcome, rank: data.Rank | None) -> None:
        """Counts an answer to a caller; ``rank`` is None if the route is unknown."""
        self._answers.add(1, outcome=outcome.value, rank=rank.value if rank else "none")

    def count_refusal(self, reason: data.Refusal) -> None:
        """Counts refused or lost work."""
        self._refusals.add(1, reason=reason.value)

    def count_retry(self, reason: data.RetryReason) -> None:
        """Counts a sub-request that is sent again."""
        self._retries.add(1, reason=reason.value)

    def count_call(self) -> None:
        """Counts a call to a backend server."""
        self._calls.add(1)

    def count_sub_requests(self, count: int) -> None:
        """Counts sub-requests received by the owner."""
        self._sub_requests.add(count)

    def count_value(self, acceptance: store.Acceptance, source: str) -> None:
        """Counts a table value offered by ``service`` or ``peer``."""
        self._values.add(1, result=acceptance.value, source=source)

    def count_service_read(self, kind: str) -> None:
        """Counts a call to the configuration service, of kind ``watch`` or ``value``."""
        self._service_reads.add(1, kind=kind)

    def count_stream_bytes(self, count: int, kind: str) -> None:
        """Counts bytes sent on instance streams for messages of a kind."""
        self._stream_bytes.add(count, kind=kind)

    def count_late_reply(self) -> None:
        """Counts a reply dropped as late or duplicate."""
        self._late_replies.add(1)

    def count_lines_left_out(self, count: int) -> None:
        """Counts log lines that were left out."""
        self._lines_left_out.add(count)

    def count_pause(self) -> None:
        """Counts a noticed pause of the process."""
        self._pauses.add(1)
