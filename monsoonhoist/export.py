"""Export of the metrics by OpenTelemetry, in the Prometheus text format.

OpenTelemetry has no observable instrument for histograms that are counted by other code, so these
are registered directly with the Prometheus library that its exporter uses. This module is imported
when metrics are first requested.
"""

import itertools
from collections.abc import Callable, Iterable

import opentelemetry.metrics
import prometheus_client
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from monsoonhoist import metrics

ObservableCallback = Callable[
    [opentelemetry.metrics.CallbackOptions], Iterable[opentelemetry.metrics.Observation]
]


class HistogramCollector(prometheus_registry.Collector):
    """Collects the histograms for a Prometheus registry.

    Args:
        histograms: The histograms to export.
    """

    def __init__(self, histograms: Iterable[metrics.Histogram]):
        self._histograms = tuple(histograms)

    def collect(self) -> Iterable[prometheus_core.HistogramMetricFamily]:
        """Yields one metric family for each histogram that is not empty."""
        for histogram in self._histograms:
            if histogram.counts_by_labels:
                yield _make_family(histogram)


class Exporter:
    """Creates an observable instrument for each counter and gauge, and registers the histograms.

    Args:
        counters: The metrics to export.
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
                counter.name, [_make_counter_callback(counter)], counter.unit, counter.description
            )

        for gauge in counters.gauge_by_name.values():
            meter.create_observable_gauge(
                gauge.name, [_make_gauge_callback(gauge)], gauge.unit, gauge.description
            )
        histograms = counters.histogram_by_name.values()
        prometheus_client.REGISTRY.register(HistogramCollector(histograms))

    @staticmethod
    def text() -> bytes:
        """Returns all metrics as Prometheus text."""
        return prometheus_client.generate_latest()


def _make_counter_callback(counter: metrics.Counter) -> ObservableCallback:
    """Returns an instrument callback that reads a counter."""

    def read(
        options: opentelemetry.metrics.CallbackOptions,
    ) -> Iterable[opentelemetry.metrics.Observation]:
        for labels, count in counter.count_by_labels.items():
            yield opentelemetry.metrics.Observation(count, dict(labels))

    return read


def _make_gauge_callback(gauge: metrics.Gauge) -> ObservableCallback:
    """Returns an instrument callback that reads a gauge."""

    def read(
        options: opentelemetry.metrics.CallbackOptions,
    ) -> Iterable[opentelemetry.metrics.Observation]:
        for labels, value in gauge.read().items():
            yield opentelemetry.metrics.Observation(value, dict(labels))

    return read


def _make_family(histogram: metrics.Histogram) -> prometheus_core.HistogramMetricFamily:
    """Converts a histogram to a Prometheus metric family, whose bucket counts are cumulative."""
    label_names = [name for name, _ in next(iter(histogram.counts_by_labels))]
    family = prometheus_core.HistogramMetricFamily(
        histogram.name, histogram.description, labels=label_names
    )
    bounds = [*(str(bound) for bound in metrics.LATENCY_BOUNDS_SECONDS), "+Inf"]
    for labels, counts in histogram.counts_by_labels.items():
        cumulative_counts = itertools.accumulate(counts)
        buckets = list(zip(bounds, cumulative_counts, strict=True))
        label_values = [value for _, value in labels]
        family.add_metric(label_values, buckets, histogram.sum_by_labels[labels])
    return family
