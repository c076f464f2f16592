"""Steps that read and check the metrics of an instance."""

import re
import subprocess
import sys
import time

import msgspec
from behave import then, when

from monsoonhoist import settings
from monsoonhoist.core import data
from monsoonhoist.node import service_belief, status
from standins import fleet, site

MS_PER_SECOND = 1000
READ_INTERVAL_SECONDS = 0.1
_SERIES = re.compile(r"^(\w+)(?:\{(.*)\})? ([0-9.e+-]+)$")
_LABEL = re.compile(r'(\w+)="([^"]*)"')


@when("the metrics of instance {number:d} are read")
def read_metrics(context, number):
    """Reads the metrics into a list of (name, labels, value)."""
    text = site.fetch(f"http://127.0.1.{number}:{fleet.CONTROL_PORT}/metrics")
    context.series = []
    for line in text.splitlines():
        parsed = _SERIES.match(line)
        if parsed:
            labels = dict(_LABEL.findall(parsed[2] or ""))
            context.series.append((parsed[1], labels, float(parsed[3])))


def select_values(context, name, selected):
    """Returns the values of the series of a metric that have the given labels.

    Args:
        context: Context with the series that were read.
        name: Name of the metric.
        selected: Labels, written as ``name=value, name=value``.
    """
    labels = dict(pair.split("=") for pair in selected.split(", ") if pair)
    return [
        value
        for series_name, series_labels, value in context.series
        if series_name == name and labels.items() <= series_labels.items()
    ]


@then("instance {number:d} has counted {count:d} more calls whose connection was lost")
def check_lost_calls(context, number, count):
    """Compares the number of lost calls with that when the metrics were read."""
    name, labels = "monsoonhoist_call_seconds_count", "end=connection_lost"
    count_before = sum(select_values(context, name, labels))
    read_metrics(context, number)
    counted = sum(select_values(context, name, labels)) - count_before
    assert counted == count, counted


@then('"{name}" with "{labels}" is at least {least:d}')
def check_least(context, name, labels, least):
    """Checks the sum of the selected series."""
    assert sum(select_values(context, name, labels)) >= least, context.series


@then('"{name}" with "{labels}" is at most {most:d}')
@then('"{name}" with "" is at most {most:d}')
def check_most(context, name, most, labels=""):
    """Checks each of the selected series."""
    values = select_values(context, name, labels)
    assert values, context.series
    assert max(values) <= most, values


@then('the buckets of "{name}" are cumulative and end at the count')
def check_buckets(context, name):
    """Checks the order of the buckets of the route ``gathered``, and the last one."""
    buckets = select_values(context, f"{name}_bucket", "route=gathered")
    assert buckets == sorted(buckets), buckets
    count = select_values(context, f"{name}_count", "route=gathered")[0]
    assert buckets[-1] == count, (buckets[-1], count)


@then('"{name}" with "{labels}" is the store\'s revision of "{key}"')
def check_revision(context, name, labels, key):
    """Compares a gauge with the revision in the store."""
    revision = context.fleet.call_in_thread(lambda: context.fleet.store.item_by_key[key]["Rev"])
    assert select_values(context, name, labels) == [revision], (revision, context.series)


@then('"{name}" of instance {number:d} is the store\'s revision within {seconds:d} s')
def check_store_revision(context, name, number, seconds):
    """Reads a gauge until it is the revision of the store as a whole, which nothing changes."""
    revision = context.fleet.call_in_thread(lambda: context.fleet.store.revision)
    deadline = time.monotonic() + seconds
    while select_values(context, name, "") != [revision]:
        assert time.monotonic() < deadline, (revision, select_values(context, name, ""))
        time.sleep(READ_INTERVAL_SECONDS)
        read_metrics(context, number)


@then(
    "the status of instance {number:d} names an instance that the service has answered "
    "within {seconds:d} s"
)
def check_service_status(context, number, seconds):
    """Checks what the status says of the configuration service."""
    text = site.fetch(f"http://127.0.1.{number}:{fleet.CONTROL_PORT}/v1/status")
    service = msgspec.json.decode(text, type=status.Status).service
    names = {f"127.0.1.{each}" for each in range(1, context.fleet.instances + 1)}
    assert service.reader in names, service
    assert service.age_ms <= seconds * MS_PER_SECOND, service
    assert service.contact is service_belief.Contact.RECENT, service


@then('"{name}" is 1 at two of the instances')
def check_two(context, name):
    """Sums a gauge over the instances."""
    total = 0
    for number in range(1, context.fleet.instances + 1):
        read_metrics(context, number)
        total += sum(select_values(context, name, ""))
    assert total == 2, total


@then("there is a series for each reason of a refusal and of a retry")
def check_reasons(context):
    """Compares the values of the label ``reason`` with all reasons."""
    for name, reasons in (("refusals", data.Refusal), ("retries", data.RetryReason)):
        series_reasons = {
            labels["reason"]
            for series, labels, _ in context.series
            if series == f"monsoonhoist_{name}_total"
        }
        assert series_reasons == {reason.value for reason in reasons}, series_reasons


# Exports the metrics of a new process and prints the longest time for which its loop stood still.
FIRST_EXPORT = """
import asyncio, time
from monsoonhoist import metrics

async def run():
    task = asyncio.create_task(metrics.Metrics("i").export())
    longest = 0.0
    while not task.done():
        before = time.monotonic()
        await asyncio.sleep(0.001)
        longest = max(longest, time.monotonic() - before)
    await task
    print(longest)

asyncio.run(run())
"""


@when("a new instance reads its metrics for the first time")
def export_first(context):
    """Exports the metrics in a new process."""
    command = [sys.executable, "-c", FIRST_EXPORT]
    completed = subprocess.run(command, cwd=site.ROOT, capture_output=True, text=True, check=True)
    context.longest_seconds = float(completed.stdout)


@then("its event loop has not stood still for half of the gap that counts as a pause")
def check_stall(context):
    """Checks the longest time between two turns of the loop."""
    gap_seconds = settings.TimingSection().pause_ms.total_seconds()
    assert context.longest_seconds < gap_seconds / 2, context.longest_seconds
