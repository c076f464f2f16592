"""The view that decisions are made by: tables in force, live instances, and the cell."""

from collections.abc import Callable

import msgspec

from monsoonhoist import settings
from monsoonhoist.core import cells, clock, data, events, held, membership
from monsoonhoist.node import peers, tables

# How long instances that are not heard of any more share the limits: they may be at work behind
# a partition.
FLEET_HOLD_SECONDS = 600.0


class _Placing(msgspec.Struct, frozen=True):
    """What the choice of neighbours follows from.

    Attributes:
        revision: Revision of the view of the instances.
        cell: Instances of the cell.
    """

    revision: int
    cell: tuple[data.InstanceId, ...]


class ViewKeeper:
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
        spread: tables.TableSpread,
        hub: peers.PeerHub,
        takers: tuple[Callable[[events.ViewChanged], None], ...],
        time_source: clock.Clock,
    ):
        self.view: events.ViewChanged | None = None
        self._placing: _Placing | None = None
        self._spread_settings = config.spread
        self._has_cells = config.policy.has_cells
        self._members = members
        self._spread = spread
        self._hub = hub
        self._takers = takers
        self._fleet = held.HeldMaximum(time_source, FLEET_HOLD_SECONDS)

    def refresh(self) -> None:
        """Tells the takers and the streams of changed tables or instances."""
        in_force = self._spread.store.tables
        fleet_size = self._fleet.note(self._members.known_count())
        if self._is_known(in_force, fleet_size):
            return
        live = self._members.live()
        cell = self._cell(in_force, fleet_size, len(live))
        placing = _Placing(self._members.revision, cell.members)
        if placing != self._placing:
            self._placing = placing
            degree = self._spread_settings.neighbours
            self._hub.set_targets(self._members.neighbours(degree, cell.members))
        self.view = events.ViewChanged(in_force, live, cell.members, cell.count, fleet_size)
        for take in self._takers:
            take(self.view)

    def _is_known(self, in_force: data.Tables, fleet_size: int) -> bool:
        """Returns whether neither tables nor instances have changed since the last view."""
        if self.view is None or self._placing is None:
            return False
        is_same = self.view.tables is in_force and self.view.fleet_size == fleet_size
        return is_same and self._placing.revision == self._members.revision

    def _cell(self, in_force: data.Tables, fleet_size: int, live_count: int) -> cells.CellView:
        if not self._has_cells:
            return cells.NO_CELL
        size = self._spread_settings.cell_size or cells.size_for(live_count, in_force)
        return cells.view(self._members, size, fleet_size)
