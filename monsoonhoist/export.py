"""Export of the counters by OpenTelemetry, in the Prometheus text format.

The module is imported when metrics are first asked for.
"""

from collections.abc import Callable, Iterable

import opentelemetry.metrics
import prometheus_client
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources

from monsoonhoist import metrics

Observe = Callable[
    [opentelemetry.metrics.CallbackOptions], Iterable[opentelemetry.metrics.Observation]
]


class Exporter:
    """Makes an observable instrument of each counter.

    Args:
        counters: The counters.
    """

    def __init__(self, counters: metrics.Metrics):
        resource = resources.Resource(
            {"service.name": "monsoonhoist", "service.instance.id": counters.instance}
        )
        reader = otel_prometheus.PrometheusMetricReader()
        self._provider = sdk_metrics.MeterProvider(metric_readers=[reader], resource=resource)
        meter = self._provider.get_meter("monsoonhoist")
        for counter in counters.counter_by_name.values():
            meter.create_observable_counter(
                counter.name, [_observe(counter)], counter.unit, counter.description
            )

    @staticmethod
    def text() -> bytes:
        """Returns all metrics as Prometheus text."""
        return prometheus_client.generate_latest()


def _observe(counter: metrics.Counter) -> Observe:
    """Returns the callback that reads a counter."""

    def read(
        options: opentelemetry.metrics.CallbackOptions,
    ) -> Iterable[opentelemetry.metrics.Observation]:
        for labels, count in counter.count_by_labels.items():
            yield opentelemetry.metrics.Observation(count, dict(labels))

    return read
