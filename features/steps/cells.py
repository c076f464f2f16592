"""Steps that test the assignment of instances to cells."""

import datetime

from behave import given, then

from monsoonhoist.core import cells, data, membership


@given(
    "tables with {shards:d} shards, {connections:d} connections per server"
    " and a latency goal of {goal_ms:d} ms"
)
def make_tables(context, shards, connections, goal_ms):
    """Makes tables with one route to one pool; each shard has one server."""
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
        goal=datetime.timedelta(milliseconds=goal_ms),
    )
    context.tables = data.Tables({route.route_id: route}, {pool_id: pool})


@then("the cells of {instances:d} instances have {size:d} instances each")
def check_size(context, instances, size):
    """Checks the size of a cell."""
    derived_size = cells.size_for(instances, context.tables)
    assert derived_size == size, derived_size


@given("{count:d} instances in {zones:d} zones")
def make_members(context, count, zones):
    """Makes the membership of each instance, which contains all instances."""
    members = [
        data.Member(f"i{number:02d}", 1, 0, data.MemberState.LIVE, "h", 1, f"z{number % zones}")
        for number in range(count)
    ]
    context.membership_by_id = {}
    for member in members:
        view = membership.Membership(member)
        view.merge(members)
        context.membership_by_id[member.instance] = view


@then("cells of size {size:d} have {least:d} to {most:d} instances, all of one zone")
def check_cells(context, size, least, most):
    """Checks the size and the zone of each instance's cell."""
    for view in context.membership_by_id.values():
        cell = view.cell(size)
        assert least <= len(cell) <= most, cell
        zones = {context.membership_by_id[name].local_member.zone for name in cell}
        assert zones == {view.local_member.zone}, zones


@then("each instance of a cell sees the same cell")
def check_same(context):
    """Checks that the members of a cell agree on it."""
    for view in context.membership_by_id.values():
        for name in view.cell(4):
            assert context.membership_by_id[name].cell(4) == view.cell(4), (name, view.cell(4))
