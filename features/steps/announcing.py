"""Steps for the announcements of table values: their graph, and peers that need none."""

import collections

from behave import given, then

from monsoonhoist.core import data
from monsoonhoist.fleet import membership, neighbours
from monsoonhoist.protocol import messages
from monsoonhoist.tables import announcements

KEY = data.TableKey("servers/a")


def make_member(number, zone_count):
    """Returns the record of an instance."""
    return data.Member(
        data.InstanceId(f"10.{number % zone_count}.0.{number}"),
        data.Incarnation(1),
        0,
        data.MemberState.LIVE,
        "127.0.0.1",
        1,
        data.ZoneId(f"z{number % zone_count}"),
    )


@given(
    "{count:d} instances in {zones:d} availability zones, "
    "with cells of {size:d} and {degree:d} other neighbours"
)
def make_fleet(context, count, zones, size, degree):
    """Computes the targets of each instance from its own view."""
    members = [make_member(number, zones) for number in range(count)]
    context.targets_by_name = {}
    for member in members:
        view = membership.Membership(member)
        view.merge(tuple(members))
        cell = view.cell(size) if size > 1 else ()
        context.targets_by_name[member.instance] = neighbours.spread_targets(
            member, view.other_members(), degree, cell
        )


@then(
    "a value reaches all of them from each within {hops:d} hops, "
    "announced to at most {most:d} by each"
)
def check_graph(context, hops, most):
    """Follows the announcements from each instance."""
    targets_by_name = context.targets_by_name
    assert max(map(len, targets_by_name.values())) <= most
    for start in targets_by_name:
        hops_by_name = {start: 0}
        queue = collections.deque([start])
        while queue:
            name = queue.popleft()
            for target in targets_by_name[name] - hops_by_name.keys():
                hops_by_name[target] = hops_by_name[name] + 1
                queue.append(target)
        assert hops_by_name.keys() == targets_by_name.keys(), start
        assert max(hops_by_name.values()) <= hops, max(hops_by_name.values())


@given('a revision announced by peer "{first}" before it is in force and by "{second}" after it')
def make_announcements(context, first, second):
    """Records the announcements."""
    revision = messages.Revision(KEY, 7, b"digest")
    context.announcements = announcements.Announcements()
    context.announcements.record_heard(data.InstanceId(first), (revision,), (revision,))
    context.announcements.add((revision,))
    context.announcements.record_heard(data.InstanceId(second), (revision,), ())


@then('it is announced to "{third}" alone of "{first}", "{second}" and "{last}"')
def check_announced(context, third, first, second, last):
    """Takes the announcements for all peers."""
    peers = [data.InstanceId(name) for name in (first, second, last)]
    taken = context.announcements.take(peers)
    assert [peer for peer, revisions in taken.items() if revisions] == [third]
    assert not any(context.announcements.take(peers).values())
