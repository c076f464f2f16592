"""Gauges of an instance: its tables, its work in flight, and its contact with other processes."""

from collections.abc import Iterable

from monsoonhoist import metrics
from monsoonhoist.core import clock
from monsoonhoist.node import node
from monsoonhoist.protocol import messages

MS_PER_SECOND = 1000


def register_gauges(local_node: node.Node, time_source: clock.Clock) -> None:
    """Adds the gauges of a node to its metrics registry."""
    add_gauge = local_node.counters.add_gauge
    add_gauge(
        "table_revision",
        "Newest revision in force, by the first part of the table keys",
        "",
        lambda: newest_revision_by_prefix(local_node.replicator.store.revisions()),
    )
    add_gauge(
        "tables_age",
        "Time since table values last came into force",
        "s",
        lambda: _tables_age(local_node.replicator.changed_at, time_source.monotonic()),
    )
    add_gauge(
        "service_word_age",
        "Age of the newest answer of the configuration service that is known here",
        "s",
        lambda: _read_report_age(local_node.latest_read_report()),
    )
    add_gauge(
        "service_era",
        "Newest known era of the configuration service; -1 if it states none",
        "",
        lambda: {metrics.NO_LABELS: local_node.replicator.store.eras.newest},
    )
    add_gauge(
        "service_revision",
        "Revision that the latest answer of the configuration service to this instance stated",
        "",
        lambda: {metrics.NO_LABELS: local_node.belief.status().revision},
    )
    add_gauge(
        "service_watched",
        "Whether this instance watches the configuration service",
        "",
        lambda: {metrics.NO_LABELS: int(local_node.belief.status().watching)},
    )
    add_gauge(
        "evacuated_zones",
        "Availability zones whose backend servers receive nothing new",
        "",
        lambda: {metrics.NO_LABELS: len(local_node.replicator.store.tables.evacuated_zones)},
    )
    add_gauge(
        "active",
        "Requests and calls in flight",
        "",
        lambda: {metrics.NO_LABELS: local_node.active},
    )
    add_gauge(
        "streams",
        "Streams to other instances that are up",
        "",
        lambda: {metrics.NO_LABELS: len(local_node.connected_instances())},
    )


def newest_revision_by_prefix(
    revisions: Iterable[messages.Revision],
) -> dict[metrics.Labels, float]:
    """Returns the newest revision of each key prefix, to limit the number of labels."""
    newest: dict[metrics.Labels, float] = {}
    for revision in revisions:
        labels = (("keys", revision.key.partition("/")[0]),)
        newest[labels] = max(newest.get(labels, 0), revision.number)
    return newest


def _tables_age(changed_at: float | None, now: float) -> dict[metrics.Labels, float]:
    return {} if changed_at is None else {metrics.NO_LABELS: now - changed_at}


def _read_report_age(report: messages.ConfigReadReport | None) -> dict[metrics.Labels, float]:
    return {} if report is None else {metrics.NO_LABELS: report.age_ms / MS_PER_SECOND}
