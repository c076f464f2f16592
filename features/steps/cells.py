"""Steps that test the assignment of instances to cells."""

import datetime

import msgspec
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


@given(
    "{count:d} instances of {capacity:f} cores in {zones:d} zones,"
    " and {shards:d} shards with a server in each of 2 zones"
)
def make_zones(context, count, capacity, zones, shards):
    """Makes the membership of each instance, and a pool whose servers are in two zones."""
    make_members(context, [capacity] * count, zones)
    make_tables(context, shards, 120, 59)
    (pool,) = context.tables.pool_by_id.values()
    servers_by_service = {
        service: tuple(
            msgspec.structs.replace(server, server_id=f"{service}-{zone}", zone=zone)
            for server in servers
            for zone in ("z0", "z1")
        )
        for service, servers in pool.servers_by_service.items()
    }
    pool = msgspec.structs.replace(pool, servers_by_service=servers_by_service)
    context.tables = data.Tables(context.tables.route_by_id, {pool.pool_id: pool})
    context.pool = pool


@when("all instances of the first zone are gone")
def lose_zone(context):
    """Makes the other instances see the streams to a zone as lost."""
    lost = [name for name, view in context.membership_by_id.items() if is_in(view, "z0")]
    for name in lost:
        del context.membership_by_id[name]
    for view in context.membership_by_id.values():
        for name in lost:
            view.record_stream(name, False)
    context.lost = lost


def is_in(view, *zones):
    """Returns whether an instance is in one of some zones."""
    return view.local_member.zone in zones


def find_cell(context, view):
    """Returns the cell of an instance, and the owners of each shard."""
    size = cells.size_for(len(view.live()), context.tables, view.local_member.capacity)
    zones_by_service = placement.find_zones(context.tables)
    cell = cells.make_view(view, size, len(view.live()), zones_by_service)
    members = [member for member in view.live_members() if member.instance in cell.members]
    policy = ownership.CellOwnership(view.local_member.instance)
    policy.set_topology(
        placement.Topology(
            {member.instance: member.capacity for member in members},
            {member.instance: member.zone for member in members},
            zones_by_service,
        )
    )
    owners_by_service = {
        service: policy.owners(context.pool.pool_id, service, cell.members)
        for service in context.pool.servers_by_service
    }
    return cell, owners_by_service


def zone_of(context, instance):
    """Returns the zone of an instance."""
    return context.membership_by_id[instance].local_member.zone


def owner_zones(context, view):
    """Returns the zones of the owners that an entry chooses."""
    _, owners_by_service = find_cell(context, view)
    return {zone_of(context, owners[0]) for owners in owners_by_service.values()}


@then("an entry in a zone of servers has all owners in its own zone")
def check_own_zone(context):
    """Checks the owners of the entries in the zones of the servers."""
    for view in context.membership_by_id.values():
        if is_in(view, "z0", "z1"):
            assert owner_zones(context, view) == {view.local_member.zone}


@then("an entry in another zone has its owners in both zones of servers")
def check_other_zones(context):
    """Checks the owners of the entries in the other zones."""
    for view in context.membership_by_id.values():
        if not is_in(view, "z0", "z1"):
            assert owner_zones(context, view) == {"z0", "z1"}


@then("the first stand-by of each shard is in the zone of its other server")
def check_stand_by(context):
    """Checks the zones of owners and first stand-bys, for all entries without servers."""
    for view in context.membership_by_id.values():
        if not is_in(view, "z0", "z1"):
            _, owners_by_service = find_cell(context, view)
            for owners in owners_by_service.values():
                assert {zone_of(context, owner) for owner in owners[:2]} == {"z0", "z1"}, owners


@then("no shard has more owners than the view of an instance counts")
def check_count(context):
    """Compares the owners of each shard over all entries with the number that limits follow."""
    found = [find_cell(context, view) for view in context.membership_by_id.values()]
    for service in context.pool.servers_by_service:
        owners = {owners_by_service[service][0] for _, owners_by_service in found}
        assert all(len(owners) <= cell.count for cell, _ in found), (owners, found[0][0].count)


@then("at most {most:d} instances work for a query")
def check_fan_out(context, most):
    """Checks the number of owners that one entry has."""
    for view in context.membership_by_id.values():
        _, owners_by_service = find_cell(context, view)
        owners = {owners[0] for owners in owners_by_service.values()}
        assert len(owners) <= most, owners


@then("each shard has an owner that is live")
def check_live_owners(context):
    """Checks that no shard has an owner that is gone."""
    for view in context.membership_by_id.values():
        _, owners_by_service = find_cell(context, view)
        for owners in owners_by_service.values():
            assert owners and not set(owners) & set(context.lost), owners
