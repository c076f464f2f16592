"""Whether this instance should currently watch the configuration service."""

from collections.abc import Callable

from monsoonhoist import settings
from monsoonhoist.core import clock, data
from monsoonhoist.fleet import membership, watcher_selection
from monsoonhoist.node import readiness


class WatcherRole:
    """Decides whether this instance is a watcher of the configuration service.

    Args:
        spread: Section ``spread`` of the settings.
        time_source: The clock.
        members: Known instances and their states.
        selection: Selects watchers by the order of instances and the age of the latest reply.
        startup: Provides the time since the start or since its last ``restart``.
        connected_instances: Returns the instances whose streams are up.
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
        """Returns whether to read the service.

        An instance without a stream to any other reads it. If all instances start together, it
        first waits for a stream.
        """
        if not self._connected_instances():
            wait_seconds = readiness.FIRST_STREAM_WAIT_SECONDS if self._spread.first_start else 0.0
            return self._startup.waited_seconds() >= wait_seconds
        if not self._spread.watchers:
            return self._members.is_watcher(self._spread.watchers_per_zone)
        position = self._members.watch_position()
        return self._selection.should_watch(position, self._clock.monotonic())
