"""Steps of the metrics."""

import re

from behave import then, when

from monsoonhoist.core import data
from standins import fleet, site

_SERIES = re.compile(r"^(\w+)(?:\{(.*)\})? ([0-9.e+-]+)$")
_LABEL = re.compile(r'(\w+)="([^"]*)"')


@when("the metrics of instance {number:d} are read")
def read_metrics(context, number):
    """Reads the metrics into values by name and labels."""
    text = site.fetch(f"http://127.0.1.{number}:{fleet.CONTROL_PORT}/metrics")
    context.series = []
    for line in text.splitlines():
        found = _SERIES.match(line)
        if found:
            labels = dict(_LABEL.findall(found[2] or ""))
            context.series.append((found[1], labels, float(found[3])))


def values_of(context, name, wanted):
    """Returns the values of the series that have some labels."""
    labels = dict(pair.split("=") for pair in wanted.split(", ") if pair)
    return [
        value
        for found, own, value in context.series
        if found == name and labels.items() <= own.items()
    ]


@then('"{name}" with "{labels}" is at least {least:d}')
def check_least(context, name, labels, least):
    """Checks the sum of some series."""
    assert sum(values_of(context, name, labels)) >= least, context.series


@then('"{name}" with "{labels}" is at most {most:d}')
@then('"{name}" with "" is at most {most:d}')
def check_most(context, name, most, labels=""):
    """Checks each of some series."""
    values = values_of(context, name, labels)
    assert values, context.series
    assert max(values) <= most, values


@then('the buckets of "{name}" are cumulative and end at the count')
def check_buckets(context, name):
    """Checks that the buckets are cumulated."""
    buckets = values_of(context, f"{name}_bucket", "route=gathered")
    assert buckets == sorted(buckets), buckets
    assert buckets[-1] == values_of(context, f"{name}_count", "route=gathered")[0]


@then('"{name}" with "{labels}" is the store\'s revision of "{key}"')
def check_revision(context, name, labels, key):
    """Compares a gauge with the store."""
    revision = context.fleet.do(lambda: context.fleet.store.item_by_key[key]["Rev"])
    assert values_of(context, name, labels) == [revision], (revision, context.series)


@then("there is a series for each reason of a refusal and of a retry")
def check_reasons(context):
    """Compares the labels with the reasons."""
    for name, reasons in (("refusals", data.Refusal), ("retries", data.RetryReason)):
        found = {
            labels["reason"]
            for series, labels, _ in context.series
            if series == f"monsoonhoist_{name}_total"
        }
        assert found == {reason.value for reason in reasons}, found
