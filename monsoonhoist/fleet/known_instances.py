"""Instances known until recently, which may still use their part of a shared limit.

Load: a partition, or the stop of many instances at once. An instance that cannot be reached may
still work on the other side of the partition, so that its part is not given to others.
"""

from collections.abc import Iterable

from monsoonhoist.core import clock, data


class KnownInstances:
    """Remembers instances for a time after they were last known.

    Args:
        time_source: The clock.
        hold_seconds: How long an instance is remembered.
    """

    def __init__(self, time_source: clock.Clock, hold_seconds: float):
        self._clock = time_source
        self._hold_seconds = hold_seconds
        self._present: set[data.InstanceId] = set()
        self._missed_at_by_instance: dict[data.InstanceId, float] = {}

    def update(self, instances: Iterable[data.InstanceId]) -> tuple[data.InstanceId, ...]:
        """Records the instances known now and returns all remembered ones, sorted."""
        now = self._clock.monotonic()
        present = set(instances)
        self._missed_at_by_instance.update(dict.fromkeys(self._present - present, now))
        self._present = present
        for instance, missed_at in list(self._missed_at_by_instance.items()):
            if instance in present or now - missed_at > self._hold_seconds:
                del self._missed_at_by_instance[instance]
        return tuple(sorted(present.union(self._missed_at_by_instance)))
