"""Steps that test which instances watch the configuration service."""

import heapq
import itertools
import random

from behave import given, then, when

from monsoonhoist.core import data
from monsoonhoist.fleet import membership, watcher_selection
from monsoonhoist.protocol import messages

INSTANCE_COUNT = 10
# Time for which instances pass on reports in a simulation.
PASSING_END_SECONDS = 2.5


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


@when(
    "{count:d} instances pass on reports of a read at 0 ms each {interval_ms:d} ms"
    " over links of {link_ms:d} ms"
)
def pass_on_reports(context, count, interval_ms, link_ms):
    """Lets the two watchers read once, and each instance report the latest read to all others."""
    selections = [
        watcher_selection.WatcherSelection(data.InstanceId(f"i{position}"), 2, 2.0, 0.3)
        for position in range(count)
    ]
    for position, selection in enumerate(selections):
        selection.should_watch(position, -10.0)
    for watcher in selections[:2]:
        watcher.record_read(0.0)
    rng = random.Random(f"{count} {link_ms}")
    numbers = itertools.count()
    # Each entry has the time, a number that makes entries differ, sender, receiver and report; an
    # entry without a report is one to be sent.
    pending = [
        (rng.uniform(0, interval_ms / 1000), next(numbers), sender, receiver, None)
        for sender, receiver in itertools.permutations(selections, 2)
    ]
    heapq.heapify(pending)
    while pending[0][0] < PASSING_END_SECONDS:
        now, _, sender, receiver, report = heapq.heappop(pending)
        if report is not None:
            receiver.record_report(report, now)
            continue
        report = sender.latest_report(now)
        if report is not None:
            arrival = (now + link_ms / 1000, next(numbers), sender, receiver, report)
            heapq.heappush(pending, arrival)
        heapq.heappush(pending, (now + interval_ms / 1000, next(numbers), sender, receiver, None))
    context.selection_by_position = dict(enumerate(selections))


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


@given(
    "{count:d} instances in {zones:d} zones, of which the last {large_count:d} have"
    " {large:f} cores and the others {small:f}"
)
def make_instances(context, count, zones, large_count, large, small):
    """Makes the view that each instance has of all."""
    members = [
        data.Member(
            data.InstanceId(f"i{number:02d}"),
            data.Incarnation(1),
            0,
            data.MemberState.LIVE,
            "h",
            1,
            data.ZoneId(f"z{number % zones}"),
            large if number >= count - large_count else small,
        )
        for number in range(count)
    ]
    context.members = members
    context.views = []
    for member in members:
        view = membership.Membership(member)
        view.merge(members)
        for other in members:
            view.record_stream(other.instance, True)
        context.views.append(view)


@then("all instances agree on the order of watchers")
def check_order(context):
    """Checks that the positions that instances compute for themselves are all different."""
    positions = [view.watch_position() for view in context.views]
    assert sorted(positions) == list(range(len(positions))), positions
    ordered = sorted(zip(positions, context.members, strict=True), key=lambda entry: entry[0])
    context.ordered_members = [member for _, member in ordered]


@then("the first {count:d} in the order have {cores:f} cores and are in different zones")
def check_first(context, count, cores):
    """Checks the capacity and the zones of the first watchers."""
    first = context.ordered_members[:count]
    assert all(member.capacity == cores for member in first), first
    assert len({member.zone for member in first}) == count, first


@then("the first {count:d} watchers of each zone include all of its instances with {cores:f} cores")
def check_zone_watchers(context, count, cores):
    """Checks which instances watch if each zone has watchers of its own."""
    for member, view in zip(context.members, context.views, strict=True):
        if member.capacity == cores:
            assert view.is_watcher(count), member
