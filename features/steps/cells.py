"""Steps of the cells."""

import datetime

from behave import given, then

from monsoonhoist.core import cells, data, membership


@given(
    "tables with {shards:d} shards, {connections:d} connections a server and a goal of {goal:d} ms"
)
def make_tables(context, shards, connections, goal):
    """Makes tables with one route to one pool."""
    pool_id = data.PoolId("p")
    servers_by_service = {
        data.ServiceId(f"s{number}"): (
            data.Server(f"s{number}-a", f"s{number}", "127.0.0.1:1", "z", 2, connections, False),
        )
        for number in range(shards)
    }
    pool = data.Pool(pool_id, shards, servers_by_service, data.Snapshot(1))
    route = data.Route(
        data.RouteId("r"),
        data.Rank.URGENT,
        pool_id,
        True,
        datetime.timedelta(seconds=1),
        0.9,
        0.2,
        goal=datetime.timedelta(milliseconds=goal),
    )
    context.tables = data.Tables({route.route_id: route}, {pool_id: pool})


@then("the cells of {instances:d} instances have {size:d} instances each")
def check_size(context, instances, size):
    """Checks the size."""
    assert cells.size_for(instances, context.tables) == size


@given("{count:d} instances in {zones:d} zones")
def make_members(context, count, zones):
    """Makes each instance's view of all."""
    members = [
        data.Member(f"i{number:02d}", 1, 0, data.MemberState.LIVE, "h", 1, f"z{number % zones}")
        for number in range(count)
    ]
    context.view_by_id = {}
    for member in members:
        view = membership.Membership(member)
        view.merge(members)
        context.view_by_id[member.instance] = view


@then("cells of {size:d} have {least:d} to {most:d} instances, all of one zone")
def check_cells(context, size, least, most):
    """Checks each instance's cell."""
    for view in context.view_by_id.values():
        cell = view.cell(size)
        assert least <= len(cell) <= most, cell
        zones = {context.view_by_id[name].local_member.zone for name in cell}
        assert zones == {view.local_member.zone}, zones


@then("each instance of a cell sees the same cell")
def check_same(context):
    """Compares the views."""
    for view in context.view_by_id.values():
        for name in view.cell(4):
            assert context.view_by_id[name].cell(4) == view.cell(4)
