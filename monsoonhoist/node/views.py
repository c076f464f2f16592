"""The view that decisions are made by: tables in force, live instances, and the cell."""

from collections.abc import Callable

import msgspec

from monsoonhoist import settings
from monsoonhoist.core import cells, clock, data, events, membership, sliding_maximum
from monsoonhoist.node import peers, replication

# How long instances that are not heard of any more share the limits: they may be at work behind
# a partition.
FLEET_SIZE_HOLD_SECONDS = 600.0


class _NeighbourInputs(msgspec.Struct, frozen=True):
    """What the choice of neighbours follows from.

    Attributes:
        revision: Revision of the view of the instances.
        cell: Instances of the cell.
    """

    revision: int
    cell: tuple[data.InstanceId, ...]


class ViewPublisher:
    """Puts the view together and tells of changes.

    Args:
        config: Settings.
        members: View of the instances.
        spread: Tables in force.
        hub: Streams, which follow the view.
        takers: Called with each new view.
        time_source: The clock.

    Attributes:
        view: The view; None before the first.
    """

    def __init__(
        self,
        config: settings.Settings,
        members: membership.Membership,
        replicator: replication.TableReplicator,
        peer_streams: peers.PeerStreams,
        subscribers: tuple[Callable[[events.ViewChanged], None], ...],
        time_source: clock.Clock,
    ):
        self.view: events.ViewChanged | None = None
        self._neighbour_inputs: _NeighbourInputs | None = None
        self._spread_settings = config.spread
        self._has_cells = config.policy.has_cells
        self._members = members
        self._replicator = replicator
        self._peer_streams = peer_streams
        self._subscribers = subscribers
        self._fleet_size_max = sliding_maximum.SlidingMaximum(time_source, FLEET_SIZE_HOLD_SECONDS)

    def refresh(self) -> None:
        """Tells the takers and the streams of changed tables or instances."""
        in_force = self._replicator.store.tables
        fleet_size = self._fleet_size_max.add(self._members.member_count())
        if self._is_current(in_force, fleet_size):
            return
        live = self._members.live()
        cell = self._choose_cell(in_force, fleet_size, len(live))
        placing = _NeighbourInputs(self._members.revision, cell.members)
        if placing != self._neighbour_inputs:
            self._neighbour_inputs = placing
            degree = self._spread_settings.neighbours
            self._peer_streams.set_neighbours(self._members.neighbours(degree, cell.members))
        self.view = events.ViewChanged(in_force, live, cell.members, cell.count, fleet_size)
        for take in self._subscribers:
            take(self.view)

    def _is_current(self, in_force: data.Tables, fleet_size: int) -> bool:
        """Returns whether neither tables nor instances have changed since the last view."""
        if self.view is None or self._neighbour_inputs is None:
            return False
        is_same = self.view.tables is in_force and self.view.fleet_size == fleet_size
        return is_same and self._neighbour_inputs.revision == self._members.revision

    def _choose_cell(
        self, in_force: data.Tables, fleet_size: int, live_count: int
    ) -> cells.CellView:
        if not self._has_cells:
            return cells.NO_CELL
        size = self._spread_settings.cell_size or cells.size_for(live_count, in_force)
        return cells.make_view(self._members, size, fleet_size)
