"""OpenTelemetry metrics, exported in the Prometheus text format.

Every refusal and retry reason has its own time series from the start, so that a
reason that never occurred reads as zero.
"""

import prometheus_client
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources

from monsoonhoist.core import data
from monsoonhoist.tables import store

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


class Metrics:
    """Instruments of one instance.

    Args:
        instance: Instance named as the resource.
    """

    def __init__(self, instance: data.InstanceId):
        reader = otel_prometheus.PrometheusMetricReader()
        resource = resources.Resource(
            {"service.name": "monsoonhoist", "service.instance.id": instance}
        )
        provider = sdk_metrics.MeterProvider(metric_readers=[reader], resource=resource)
        meter = provider.get_meter("monsoonhoist")
        self._answers = meter.create_counter("monsoonhoist_answers", description="Answers given")
        self._refusals = meter.create_counter(
            "monsoonhoist_refusals", description="Refused or lost work, by reason"
        )
        self._retries = meter.create_counter(
            "monsoonhoist_retries", description="Sub-requests sent again, by reason"
        )
        self._calls = meter.create_counter(
            "monsoonhoist_backend_calls", description="Calls to backend servers"
        )
        self._sub_requests = meter.create_counter(
            "monsoonhoist_sub_requests", description="Sub-requests received by the owner"
        )
        self._values = meter.create_counter(
            "monsoonhoist_table_values", description="Table values offered, by result"
        )
        self._service_reads = meter.create_counter(
            "monsoonhoist_service_reads", description="Calls to the configuration service"
        )
        self._stream_bytes = meter.create_counter(
            "monsoonhoist_stream_bytes", unit="By", description="Bytes on instance streams"
        )
        self._late_replies = meter.create_counter(
            "monsoonhoist_late_replies", description="Replies dropped as late or duplicate"
        )
        self._pauses = meter.create_counter(
            "monsoonhoist_pauses", description="Pauses of the process that were noticed"
        )
        self._start_at_zero()

    def _start_at_zero(self) -> None:
        for refusal in data.Refusal:
            self._refusals.add(0, {"reason": refusal.value})
        for retry in data.RetryReason:
            self._retries.add(0, {"reason": retry.value})
        for outcome in data.Outcome:
            for rank in data.Rank:
                self._answers.add(0, {"outcome": outcome.value, "rank": rank.value})
        for acceptance in store.Acceptance:
            self._values.add(0, {"result": acceptance.value})
        for counter in (self._calls, self._sub_requests, self._late_replies, self._pauses):
            counter.add(0)

    def count_answer(self, outcome: data.Outcome, rank: data.Rank | None) -> None:
        """Counts an answer to a caller; ``rank`` is None if the route is unknown."""
        self._answers.add(1, {"outcome": outcome.value, "rank": rank.value if rank else "none"})

    def count_refusal(self, reason: data.Refusal) -> None:
        """Counts refused or lost work."""
        self._refusals.add(1, {"reason": reason.value})

    def count_retry(self, reason: data.RetryReason) -> None:
        """Counts a sub-request that is sent again."""
        self._retries.add(1, {"reason": reason.value})

    def count_call(self) -> None:
        """Counts a call to a backend server."""
        self._calls.add(1)

    def count_sub_requests(self, count: int) -> None:
        """Counts sub-requests received by the owner."""
        self._sub_requests.add(count)

    def count_value(self, acceptance: store.Acceptance, source: str) -> None:
        """Counts a table value offered by ``service`` or ``peer``."""
        self._values.add(1, {"result": acceptance.value, "source": source})

    def count_service_read(self, kind: str) -> None:
        """Counts a call to the configuration service, of kind ``watch`` or ``value``."""
        self._service_reads.add(1, {"kind": kind})

    def count_stream_bytes(self, count: int, kind: str) -> None:
        """Counts bytes sent on instance streams for messages of a kind."""
        self._stream_bytes.add(count, {"kind": kind})

    def count_late_reply(self) -> None:
        """Counts a reply dropped as late or duplicate."""
        self._late_replies.add(1)

    def count_pause(self) -> None:
        """Counts a noticed pause of the process."""
        self._pauses.add(1)

    @staticmethod
    def export() -> bytes:
        """Returns all metrics as Prometheus text."""
        return prometheus_client.generate_latest()
