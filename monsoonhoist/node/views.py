"""The view that decisions are made by: tables in force, live instances, and the cell."""

from collections.abc import Callable

from monsoonhoist import settings
from monsoonhoist.core import cells, data, events, membership
from monsoonhoist.node import peers, tables


class ViewKeeper:
    """Puts the view together and tells of changes.

    Args:
        config: Settings.
        members: View of the instances.
        spread: Tables in force.
        hub: Streams, which follow the view.
        takers: Called with each new view.

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
    ):
        self.view: events.ViewChanged | None = None
        self._spread_settings = config.spread
        self._has_cells = config.policy.has_cells
        self._members = members
        self._spread = spread
        self._hub = hub
        self._takers = takers

    def refresh(self) -> None:
        """Tells the takers and the streams of changed tables or instances."""
        in_force = self._spread.store.tables
        cell = self._cell(in_force)
        degree = self._spread_settings.neighbours
        self._hub.set_targets(self._members.neighbours(degree, cell.members))
        view = events.ViewChanged(in_force, self._members.live(), cell.members, cell.count)
        if view != self.view:
            self.view = view
            for take in self._takers:
                take(view)

    def _cell(self, in_force: data.Tables) -> cells.CellView:
        if not self._has_cells:
            return cells.NO_CELL
        return cells.view(self._members, self._spread_settings.cell_size, in_force)
