"""Where the instances of a cell are, and what they can do."""

import msgspec

from monsoonhoist.core import data


class Topology(msgspec.Struct, frozen=True):
    """Where instances are, and what they can do.

    Attributes:
        capacity_by_instance: Capacities of instances, in cores of typical speed; 1 for those that
            are not contained.
        zone_by_instance: Availability zones of instances.
    """

    capacity_by_instance: dict[data.InstanceId, float] = {}
    zone_by_instance: dict[data.InstanceId, data.ZoneId] = {}


NO_TOPOLOGY = Topology()
