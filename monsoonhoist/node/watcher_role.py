"""Whether this instance should read the configuration service now."""

from collections.abc import Callable

from monsoonhoist import settings
from monsoonhoist.core import clock, data, membership, watcher_selection
from monsoonhoist.node import readiness


class WatcherRole:
    """Joins what an instance knows to the decision.

    Args:
        spread: Settings of the spread.
        time_source: The clock.
        members: View of the instances.
        duty: Newest word of the service, and the order of watchers.
        start: Time since the start.
        connected: Returns the instances whose streams are up.
    """

    def __init__(
        self,
        spread: settings.SpreadSection,
        time_source: clock.Clock,
        members: membership.Membership,
        selection: watcher_selection.WatcherSelection,
        startup: readiness.Readiness,
        connected_instances: Callable[[], tuple[data.InstanceId, ...]],
    ):
        self._spread = spread
        self._clock = time_source
        self._members = members
        self._selection = selection
        self._startup = startup
        self._connected_instances = connected_instances

    def is_active(self) -> bool:
        """Returns whether to read the service; an instance by itself always does."""
        if not self._connected_instances():
            patience = readiness.FIRST_STREAM_WAIT_SECONDS if self._spread.first_start else 0.0
            return self._startup.waited_seconds() >= patience
        if not self._spread.watchers:
            return self._members.is_watcher(self._spread.watchers_per_zone)
        place = self._members.watch_position()
        return self._selection.is_needed(place, self._clock.monotonic())
