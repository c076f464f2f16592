"""Choice of the instances to which an instance keeps streams, and of those it announces values to.

Load: a fleet of hundreds of instances in which each learns of every change within a second, while
the links of small instances carry queries too.
"""

import math
from collections.abc import Sequence

from monsoonhoist.core import data, hashing

# Share of an instance's neighbours that are in other availability zones.
OTHER_ZONES_SHARE = 0.3
# Number of instances of the own cell to which an instance announces every table value.
CELL_SPREAD_DEGREE = 2


def choose(
    local: data.Member,
    others: Sequence[data.Member],
    degree: int,
    cell: tuple[data.InstanceId, ...] = (),
) -> tuple[data.Member, ...]:
    """Returns the instances to keep a stream to, at most ``degree`` besides the cell.

    Most of them are in the instance's availability zone, since traffic between zones is
    expensive. Both within the zone and outside it, half are the successors on a hash ring,
    which keeps the graph of streams connected; the others are those with the largest
    hash weight of the pair, which keeps its diameter small.

    Args:
        local: The instance.
        others: All other instances.
        degree: Number of neighbours for gossip.
        cell: Instances of the instance's cell, all of which are included.
    """
    cell_members = tuple(member for member in others if member.instance in cell)
    return cell_members + _choose_outside(local, others, degree, cell)


def spread_targets(
    local: data.Member,
    others: Sequence[data.Member],
    degree: int,
    cell: tuple[data.InstanceId, ...] = (),
) -> frozenset[data.InstanceId]:
    """Returns the neighbours to which every table value is announced.

    These are the neighbours outside the cell, and few within it: all instances of a cell are
    neighbours of each other, so that each value would be announced to each many times.

    Args:
        local: The instance.
        others: All other instances.
        degree: Number of neighbours besides the cell.
        cell: Instances of the instance's cell.
    """
    cell_members = [member for member in others if member.instance in cell]
    targets = _choose_on_ring(local, cell_members, CELL_SPREAD_DEGREE)
    targets += _choose_outside(local, others, degree, cell)
    return frozenset(member.instance for member in targets)


def _choose_outside(
    local: data.Member,
    others: Sequence[data.Member],
    degree: int,
    cell: tuple[data.InstanceId, ...],
) -> tuple[data.Member, ...]:
    """Returns the neighbours that are not in a cell, at most ``degree``."""
    outside = [member for member in others if member.instance not in cell]
    if len(outside) <= degree:
        return tuple(outside)
    same_zone = [member for member in outside if member.zone == local.zone]
    other_zones = [member for member in outside if member.zone != local.zone]
    other_zones_count = max(math.ceil(degree * OTHER_ZONES_SHARE), degree - len(same_zone))
    zone_neighbours = _choose_on_ring(local, same_zone, degree - other_zones_count)
    return zone_neighbours + _choose_on_ring(local, other_zones, other_zones_count)


def _choose_on_ring(
    local: data.Member, others: list[data.Member], degree: int
) -> tuple[data.Member, ...]:
    """Returns at most ``degree`` instances: successors on the ring, and those of large weight."""
    if len(others) <= degree:
        return tuple(others)
    local_position = _ring_position(local)
    ring = sorted(others, key=lambda member: (_ring_position(member) - local_position) % 2**64)
    ring_count = (degree + 1) // 2
    by_pair_weight = sorted(
        ring[ring_count:], key=lambda member: _pair_weight(local, member), reverse=True
    )
    return tuple(ring[:ring_count] + by_pair_weight[: degree - ring_count])


def _ring_position(member: data.Member) -> int:
    return hashing.stable_hash(member.instance)


def _pair_weight(first: data.Member, second: data.Member) -> int:
    return hashing.stable_hash(*sorted((first.instance, second.instance)))
