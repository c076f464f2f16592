"""Steps that test which instances watch the configuration service."""

from behave import then, when

from monsoonhoist.core import data
from monsoonhoist.fleet import watcher_selection
from monsoonhoist.protocol import messages

INSTANCE_COUNT = 10


def get_selections(context):
    """Returns the watcher selection of each position, made on first use."""
    if not hasattr(context, "selection_by_position"):
        # The numbers are those of the feature's description.
        context.selection_by_position = {
            position: watcher_selection.WatcherSelection(
                data.InstanceId(f"i{position}"), 2, 2.0, 0.3
            )
            for position in range(INSTANCE_COUNT)
        }
        # The first call sets the time from which ages count until a read is reported.
        for position, selection in context.selection_by_position.items():
            selection.should_watch(position, 0.0)
    return context.selection_by_position


@when("a peer reports a read of {age_ms:d} ms age to each instance at {at_ms:d} ms")
def report_read(context, age_ms, at_ms, reader="another"):
    """Reports a read of the service by some instance to all instances."""
    for selection in get_selections(context).values():
        selection.record_report(
            messages.ConfigReadReport(data.InstanceId(reader), age_ms), at_ms / 1000
        )


@when(
    "a peer reports a read by instance {position:d} of {age_ms:d} ms age"
    " to each instance at {at_ms:d} ms"
)
def report_own_read(context, position, age_ms, at_ms):
    """Reports a read by one of the instances to all, including the instance itself."""
    report_read(context, age_ms, at_ms, f"i{position}")


@when(
    "a peer reports a read of {age_ms:d} ms age to each instance"
    " every {interval_ms:d} ms until {end_ms:d} ms"
)
def report_reads(context, age_ms, interval_ms, end_ms):
    """Reports reads at intervals."""
    for at_ms in range(0, end_ms, interval_ms):
        report_read(context, age_ms, at_ms)


@then("the instances at positions {first:d} to {last:d} watch at {at_ms:d} ms")
def check_watching(context, first, last, at_ms):
    """Checks that the instances at a range of positions watch."""
    for position in range(first, last + 1):
        assert get_selections(context)[position].should_watch(position, at_ms / 1000), position


@then("the instances at positions {first:d} to {last:d} do not watch at {at_ms:d} ms")
def check_not_watching(context, first, last, at_ms):
    """Checks that the instances at a range of positions do not watch."""
    for position in range(first, last + 1):
        assert not get_selections(context)[position].should_watch(position, at_ms / 1000), position
