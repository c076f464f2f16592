"""Counters, histograms and gauges of one instance.

The counts are plain numbers, which OpenTelemetry reads when the metrics are requested. Counting is
therefore cheap, and the libraries of the exporter are loaded only in processes that export metrics.
Every refusal and retry reason has its own time series from the start, so that a reason that never
occurred is exported as zero.
"""

import asyncio
import bisect
import collections
import importlib
from collections.abc import Callable
from typing import Protocol

from monsoonhoist.core import data, defects, scheduling
from monsoonhoist.shards import slow_start
from monsoonhoist.tables import store

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

# Upper bounds of the latency histograms, in seconds: close together in the range of the usual
# latency goals, and up to the usual deadlines. Times above the last bound share one bucket.
LATENCY_BOUNDS_SECONDS = (
    0.005,
    0.01,
    0.02,
    0.035,
    0.05,
    0.075,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.0,
    5.0,
)
# Number of routes with a histogram of their own; all others share one label value.
ROUTE_LABELS_MAX = 64
OTHER_ROUTES = "other"
# Where table values come from: the configuration service, or another instance.
TABLE_VALUE_SOURCES = ("service", "peer")

Labels = tuple[tuple[str, str], ...]
ReadGauge = Callable[[], dict[Labels, float]]
NO_LABELS: Labels = ()


class Counter:
    """Counter metric with one count for each combination of labels.

    Args:
        name: Name of the metric.
        description: What it counts.
        unit: Unit as a UCUM code, or empty.

    Attributes:
        count_by_labels: Counts by their labels, which are pairs of name and value.
    """

    def __init__(self, name: str, description: str, unit: str = ""):
        self.name = name
        self.description = description
        self.unit = unit
        self.count_by_labels: collections.Counter[Labels] = collections.Counter()

    def add(self, count: int, **labels: str) -> None:
        """Adds to the count with these labels."""
        self.count_by_labels[tuple(labels.items())] += count


class Histogram:
    """Histogram metric of durations for each combination of labels.

    Args:
        name: Name of the metric; its values are in seconds.
        description: What it measures.

    Attributes:
        counts_by_labels: Number of durations in each bucket: up to its upper bound and above the
            previous bound. The last bucket holds the durations above all bounds.
        sum_by_labels: Sum of the durations, in seconds.
    """

    def __init__(self, name: str, description: str):
        self.name = name
        self.description = description
        self.counts_by_labels: dict[Labels, list[int]] = {}
        self.sum_by_labels: collections.Counter[Labels] = collections.Counter()

    def record(self, seconds: float, **labels: str) -> None:
        """Adds a duration to the histogram with these labels."""
        key = tuple(labels.items())
        counts = self.counts_by_labels.get(key)
        if counts is None:
            counts = [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)
            self.counts_by_labels[key] = counts
        counts[bisect.bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1
        self.sum_by_labels[key] += seconds


class Gauge:
    """Gauge metric whose values are read when the metrics are requested.

    Args:
        name: Name of the metric.
        description: What it shows.
        unit: Unit as a UCUM code, or empty.
        read: Returns the values by labels, without those that are unknown.
    """

    def __init__(self, name: str, description: str, unit: str, read: ReadGauge):
        self.name = name
        self.description = description
        self.unit = unit
        self.read = read


class TextExporter(Protocol):
    """Interface of the exporter, which is loaded on first use."""

    def text(self) -> bytes:
        """Returns all metrics as Prometheus text."""


class Metrics:
    """Metrics of one instance.

    Args:
        instance: This instance, which is exported as the OpenTelemetry resource.

    Attributes:
        instance: This instance.
        counter_by_name: All counters, by the full name of the metric.
        histogram_by_name: All histograms, by the full name of the metric.
        gauge_by_name: All gauges, by the full name of the metric.
    """

    def __init__(self, instance: data.InstanceId):
        self.instance = instance
        self.counter_by_name: dict[str, Counter] = {}
        self.histogram_by_name: dict[str, Histogram] = {}
        self.gauge_by_name: dict[str, Gauge] = {}
        self._route_labels: set[str] = set()
        self._exporter: TextExporter | None = None
        self._answers = self._make_counter("answers", "Answers given")
        self._refusals = self._make_counter("refusals", "Refused or lost work, by reason")
        self._retries = self._make_counter("retries", "Sub-requests sent again, by reason")
        self._calls = self._make_counter("backend_calls", "Calls to backend servers")
        self._sub_requests = self._make_counter(
            "sub_requests", "Sub-requests received by the owner"
        )
        self._table_values = self._make_counter("table_values", "Table values offered, by result")
        self._service_reads = self._make_counter(
            "service_reads", "Calls to the configuration service"
        )
        self._service_failures = self._make_counter(
            "service_failures", "Failed reads of the configuration service, by reason"
        )
        self._stream_bytes = self._make_counter("stream_bytes", "Bytes on instance streams", "By")
        self._late_replies = self._make_counter(
            "late_replies", "Replies dropped as late or duplicate"
        )
        self._pauses = self._make_counter("pauses", "Pauses of the process that were noticed")
        self._ended_connections = self._make_counter(
            "ended_connections", "Kept connections to servers that could not be used for a call"
        )
        self._defects = self._make_counter(
            "responses_not_accepted", "Responses of servers that were not accepted, by defect"
        )
        self._calls_not_allowed = self._make_counter(
            "calls_not_allowed", "Extra calls not made, by limit"
        )
        self._decisions = self._make_counter(
            "scheduling_decisions", "Decisions of the scheduling mechanisms"
        )
        self._attempts_exceeded = self._make_counter(
            "attempts_exceeded", "Shards called more often than allowed"
        )
        self._slow_starts = self._make_counter(
            "slow_starts", "Slow starts of backend servers, by cause"
        )
        self._cold_servers = self._make_counter(
            "cold_servers", "Backend servers that have become cold"
        )
        self._quota_refusals = self._make_counter(
            "quota_refusals", "Sub-requests refused because of quotas for cold servers"
        )
        self._log_lines_left_out = self._make_counter("log_lines_left_out", "Log lines left out")
        self._callers_closed = self._make_counter(
            "callers_closed",
            "Callers refused within a request or whose connection was closed, by reason",
        )
        self._answer_seconds = self._make_histogram("answer_seconds", "Time until an answer")
        self._call_seconds = self._make_histogram("call_seconds", "Time of a backend call")
        self._start_at_zero()

    async def export(self) -> bytes:
        """Returns all metrics as Prometheus text; the exporter is created on first use.

        Its libraries are loaded in a thread, since loading them takes longer than the event loop
        may stand still.
        """
        if self._exporter is None:
            module = await asyncio.to_thread(importlib.import_module, "monsoonhoist.export")
            self._exporter = self._exporter or module.Exporter(self)
        return self._exporter.text()

    def _make_counter(self, name: str, description: str, unit: str = "") -> Counter:
        counter = Counter(f"monsoonhoist_{name}", description, unit)
        self.counter_by_name[counter.name] = counter
        return counter

    def _make_histogram(self, name: str, description: str) -> Histogram:
        histogram = Histogram(f"monsoonhoist_{name}", description)
        self.histogram_by_name[histogram.name] = histogram
        return histogram

    def add_gauge(self, name: str, description: str, unit: str, read: ReadGauge) -> None:
        """Adds a gauge; ``read`` is called whenever the metrics are requested."""
        gauge = Gauge(f"monsoonhoist_{name}", description, unit, read)
        self.gauge_by_name[gauge.name] = gauge

    def _start_at_zero(self) -> None:
        """Creates the time series of all reasons and results with a count of zero."""
        for refusal in data.Refusal:
            self._refusals.add(0, reason=refusal.value)
        for retry in data.RetryReason:
            self._retries.add(0, reason=retry.value)
        for defect in defects.Defect:
            self._defects.add(0, defect=defect.value)
        for bound in data.Bound:
            self._calls_not_allowed.add(0, bound=bound.value)
        for cause in slow_start.Cause:
            self._slow_starts.add(0, cause=cause.value)
        for decision in scheduling.Decision:
            self._decisions.add(0, decision=decision.value)
        for outcome in data.Outcome:
            for rank in data.Rank:
                self._answers.add(0, outcome=outcome.value, rank=rank.value)
        for acceptance in store.Acceptance:
            for source in TABLE_VALUE_SOURCES:
                self._table_values.add(0, result=acceptance.value, source=source)
        unlabelled = (self._calls, self._sub_requests, self._late_replies, self._pauses)
        unlabelled += (self._ended_connections,)
        unlabelled = (*unlabelled, self._cold_servers, self._quota_refusals)
        for counter in (*unlabelled, self._log_lines_left_out, self._attempts_exceeded):
            counter.add(0)

    def count_answer(self, outcome: data.Outcome, rank: data.Rank | None) -> None:
        """Counts an answer to a caller; ``rank`` is None if the route is unknown."""
        self._answers.add(1, outcome=outcome.value, rank=rank.value if rank else "none")

    def record_answer_seconds(self, route: data.Route, seconds: float) -> None:
        """Records the time until an answer to a request, in seconds, by route."""
        label = route.route_id
        if label not in self._route_labels:
            if len(self._route_labels) < ROUTE_LABELS_MAX:
                self._route_labels.add(label)
            else:
                label = OTHER_ROUTES
        self._answer_seconds.record(seconds, route=label, rank=route.rank.value)

    def record_call_seconds(self, reason: str, seconds: float) -> None:
        """Records the duration and the result of a call to a backend server.

        Args:
            reason: Why the call failed; empty if it succeeded.
            seconds: Duration of the call, in seconds.
        """
        self._call_seconds.record(seconds, end=reason or "answered")

    def count_refusal(self, reason: data.Refusal) -> None:
        """Counts a refused, failed or lost request, sub-request or call."""
        self._refusals.add(1, reason=reason.value)

    def count_retry(self, reason: data.RetryReason) -> None:
        """Counts a sub-request or a call that is repeated."""
        self._retries.add(1, reason=reason.value)

    def count_call(self) -> None:
        """Counts a call to a backend server."""
        self._calls.add(1)

    def count_defect(self, defect: defects.Defect) -> None:
        """Counts a response of a server that was not accepted."""
        self._defects.add(1, defect=defect.value)

    def count_sub_requests(self, count: int) -> None:
        """Counts sub-requests received by the owner."""
        self._sub_requests.add(count)

    def count_table_value(self, acceptance: store.Acceptance, source: str) -> None:
        """Counts a table value offered to the store.

        Args:
            acceptance: What the store did with the value.
            source: ``service`` or ``peer``.
        """
        self._table_values.add(1, result=acceptance.value, source=source)

    def count_service_read(self, kind: str) -> None:
        """Counts a call to the configuration service.

        Args:
            kind: ``watch``, ``value`` or ``range``; ``operators-watch`` and ``operators-range`` for
                calls that read operators' keys only.
        """
        self._service_reads.add(1, kind=kind)

    def count_service_failure(self, reason: str, count: int = 1) -> None:
        """Counts a failed read of the configuration service; none to start a series at zero."""
        self._service_failures.add(count, reason=reason)

    def count_stream_bytes(self, count: int, kind: str) -> None:
        """Counts bytes sent on instance streams for messages of a kind."""
        self._stream_bytes.add(count, kind=kind)

    def count_late_reply(self) -> None:
        """Counts a reply dropped as late or duplicate."""
        self._late_replies.add(1)

    def count_caller_closed(self, reason: str) -> None:
        """Counts a caller that was refused within a request, or whose connection was closed."""
        self._callers_closed.add(1, reason=reason)

    def count_log_lines_left_out(self, count: int) -> None:
        """Counts log lines that were dropped."""
        self._log_lines_left_out.add(count)

    def count_call_not_allowed(self, bound: data.Bound) -> None:
        """Counts an extra call, beyond the first for a shard, that a limit did not allow."""
        self._calls_not_allowed.add(1, bound=bound.value)

    def count_decision(self, decision: scheduling.Decision) -> None:
        """Counts a decision of the scheduling mechanisms."""
        self._decisions.add(1, decision=decision.value)

    def count_shards_over_limit(self, count: int) -> None:
        """Counts shards that may have been called more often than the route allows."""
        self._attempts_exceeded.add(count)

    def count_slow_start(self, cause: str) -> None:
        """Counts the start of a backend server that receives a part of its usual load at first."""
        self._slow_starts.add(1, cause=cause)

    def count_cold_server(self) -> None:
        """Counts a backend server that has become cold."""
        self._cold_servers.add(1)

    def count_quota_refusal(self) -> None:
        """Counts a sub-request that was refused because of the quotas for cold servers."""
        self._quota_refusals.add(1)

    def count_pause(self) -> None:
        """Counts a detected pause of the process."""
        self._pauses.add(1)

    def count_ended_connection(self) -> None:
        """Counts a kept connection to a server that was found ended before a request was sent."""
        self._ended_connections.add(1)
