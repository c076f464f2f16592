"""Steps that test the assignment of instances to cells."""

import datetime

from behave import given, then, when

from monsoonhoist.core import data, placement
from monsoonhoist.fleet import cells, membership
from monsoonhoist.policy import ownership


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


@then(
    "the cells of {instances:d} instances of {capacity:f} cores each have {size:d} instances each"
)
def check_size_by_capacity(context, instances, capacity, size):
    """Checks the size of a cell of instances with a given capacity."""
    derived_size = cells.size_for(instances, context.tables, capacity)
    assert derived_size == size, derived_size


@given("{count:d} instances in {zones:d} zones")
def make_equal_members(context, count, zones):
    """Makes the membership of each instance, which contains all instances."""
    make_members(context, [1.0] * count, zones)


@given(
    "{count:d} instances in 1 zone, of which {large_count:d} have {large:f} cores"
    " and the others {small:f}"
)
def make_unequal_members(context, count, large_count, large, small):
    """Makes the membership of instances of two capacities, which alternate by name."""
    is_large = [number % (count // large_count) == 0 for number in range(count)]
    make_members(context, [large if flag else small for flag in is_large], 1)


def make_members(context, capacities, zones):
    """Makes the membership of each instance, which contains all instances."""
    members = [
        data.Member(
            f"i{number:02d}", 1, 0, data.MemberState.LIVE, "h", 1, f"z{number % zones}", capacity
        )
        for number, capacity in enumerate(capacities)
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


@then("each of the {cell_count:d} cells of size {size:d} has 1 instance of {capacity:f} cores")
def check_large_members(context, cell_count, size, capacity):
    """Checks the number of cells, and of instances with a given capacity in each."""
    views = context.membership_by_id
    found = {view.cell(size) for view in views.values()}
    assert len(found) == cell_count, found
    for cell in found:
        capacities = [views[name].local_member.capacity for name in cell]
        assert capacities.count(capacity) == 1, cell


@given("a cell of {count:d} instances, of which one has {large:f} cores and the others {small:f}")
def make_cell(context, count, large, small):
    """Makes the ownership policy of a cell."""
    context.instances = tuple(data.InstanceId(f"i{number}") for number in range(count))
    context.policy = ownership.CellOwnership(context.instances[0])
    capacities = dict.fromkeys(context.instances, small) | {context.instances[0]: large}
    context.policy.set_topology(placement.Topology(capacities))


def find_owners(context, shard_count=3000):
    """Returns the owner of each shard."""
    return [
        context.policy.owners(data.PoolId("p"), data.ServiceId(f"s{number}"), context.instances)[0]
        for number in range(shard_count)
    ]


@then("of {shard_count:d} shards that instance owns {least:d}% to {most:d}%")
def check_share(context, shard_count, least, most):
    """Checks the share of the first instance."""
    owned = find_owners(context, shard_count).count(context.instances[0])
    assert least * shard_count <= 100 * owned <= most * shard_count, owned


@then("shards move only to or from an instance whose capacity changes")
def check_moves(context):
    """Changes the capacity of one instance and compares the owners."""
    before = find_owners(context)
    changed = context.instances[3]
    capacities = dict.fromkeys(context.instances, 0.5)
    capacities |= {context.instances[0]: 2.0, changed: 1.0}
    context.policy.set_topology(placement.Topology(capacities))
    moves = [pair for pair in zip(before, find_owners(context), strict=True) if len(set(pair)) > 1]
    assert moves and all(changed in pair for pair in moves), moves[:5]


@then("each instance of a cell sees the same cell")
def check_same(context):
    """Checks that the members of a cell agree on it."""
    for view in context.membership_by_id.values():
        for name in view.cell(4):
            assert context.membership_by_id[name].cell(4) == view.cell(4), (name, view.cell(4))


def set_streams(context, names, is_up):
    """Reports the loss or the return of instances to all others."""
    for name in names:
        for view in context.membership_by_id.values():
            if view.local_member.instance != name:
                view.record_stream(name, is_up)
                view.cell(8)


@when("{count:d} instances are lost one after another")
def lose_instances(context, count):
    """Reports the loss of instances, taken evenly from all, to the others."""
    names = sorted(context.membership_by_id)
    context.cell_by_id = {name: context.membership_by_id[name].cell(8) for name in names}
    context.lost = names[:: len(names) // count][:count]
    set_streams(context, context.lost, False)


@when("the {count:d} instances are back")
def return_instances(context, count):
    """Reports the return of the instances."""
    set_streams(context, context.lost, True)
    context.lost = []


@then("the others are in the same cells of size {size:d} as before, without those")
@then("all are in the same cells of size {size:d} as before")
def check_stable(context, size):
    """Compares the cells with those before the loss."""
    for name, cell in context.cell_by_id.items():
        if name not in context.lost:
            expected = tuple(member for member in cell if member not in context.lost)
            assert context.membership_by_id[name].cell(size) == expected, name


@then("the others are in cells of size {size:d} of {least:d} to {most:d} instances")
def check_dealt_anew(context, size, least, most):
    """Checks the sizes of the cells after a large loss."""
    for name, view in context.membership_by_id.items():
        if name not in context.lost:
            assert least <= len(view.cell(size)) <= most, view.cell(size)
