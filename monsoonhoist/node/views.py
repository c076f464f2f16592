"""Builds the view on which the kernels base decisions: tables, live instances and the cell."""

import asyncio
import math
from collections.abc import Callable

import msgspec

from monsoonhoist import settings
from monsoonhoist.core import clock, data, placement, sliding_maximum
from monsoonhoist.fleet import cells, known_instances, membership, neighbours
from monsoonhoist.node import peers, replication
from monsoonhoist.protocol import events

# How long unreachable instances still count when limits are divided among the instances: they may
# be working behind a network partition.
FLEET_SIZE_HOLD_SECONDS = 600.0
# Least time between two views that differ in their instances only. While a fleet starts, records
# of instances arrive one after another, and each view costs time in proportion to the fleet.
VIEW_INTERVAL_SECONDS = 0.05


class _NeighbourInputs(msgspec.Struct, frozen=True):
    """Inputs of the choice of neighbours; unchanged inputs give the same neighbours.

    Attributes:
        revision: Revision of the membership.
        cell: Instances of this instance's cell.
    """

    revision: int
    cell: tuple[data.InstanceId, ...]


class ViewPublisher:
    """Builds the view and passes each new one to its subscribers.

    Args:
        config: Settings.
        members: Known instances and their states.
        replicator: Holds the current tables.
        peer_streams: Streams to the neighbours, updated with the view.
        subscribers: Called with each new view.
        time_source: The clock.

    Attributes:
        view: The latest view; None before the first.
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
        self._clock = time_source
        self._published_at = -math.inf
        self._pending_refresh: asyncio.TimerHandle | None = None
        self._known = known_instances.KnownInstances(time_source, FLEET_SIZE_HOLD_SECONDS)
        self._fleet_size_max = sliding_maximum.SlidingMaximum(time_source, FLEET_SIZE_HOLD_SECONDS)

    def refresh(self) -> None:
        """Publishes a new view if tables or instances have changed, and updates the streams.

        New tables are in force at once. Changes of instances that follow the last view closely are
        published together.
        """
        has_new_tables = self.view is None or self.view.tables is not self._replicator.store.tables
        elapsed = self._clock.monotonic() - self._published_at
        if has_new_tables or elapsed >= VIEW_INTERVAL_SECONDS:
            self._refresh_now()
            return
        if self._pending_refresh is not None:
            return
        self._pending_refresh = asyncio.get_running_loop().call_later(
            VIEW_INTERVAL_SECONDS - elapsed, self._run_pending_refresh
        )

    def stop(self) -> None:
        """Cancels a view that is to be published."""
        if self._pending_refresh is not None:
            self._pending_refresh.cancel()

    def _run_pending_refresh(self) -> None:
        self._pending_refresh = None
        self._refresh_now()

    def _refresh_now(self) -> None:
        tables = self._replicator.store.tables
        fleet_size = self._fleet_size_max.add(self._members.member_count())
        if self._is_current(tables, fleet_size):
            return
        live = self._members.live()
        cell = self._choose_cell(tables, fleet_size, len(live))
        inputs = _NeighbourInputs(self._members.revision, cell.members)
        if inputs != self._neighbour_inputs:
            self._neighbour_inputs = inputs
            degree = self._spread_settings.neighbours
            local, others = self._members.local_member, self._members.other_members()
            self._peer_streams.set_neighbours(
                neighbours.choose(local, others, degree, cell.members),
                neighbours.spread_targets(local, others, degree, cell.members),
            )
        previous = self.view
        self.view = events.ViewChanged(
            tables,
            live,
            self._members.accepting(cell.members),
            cell.count,
            fleet_size,
            self._make_topology(cell),
            self._find_known(tables),
        )
        self._published_at = self._clock.monotonic()
        if previous is not None and _decides_alike(previous, self.view):
            return
        for notify in self._subscribers:
            notify(self.view)

    def _find_known(self, tables: data.Tables) -> tuple[data.InstanceId, ...]:
        """Returns the instances known until recently, if a service states a rate for cold servers.

        Without such a service they have no effect, and a view that differs only in them is not
        published.
        """
        local = self._members.local_member.instance
        others = (member.instance for member in self._members.other_members())
        known = self._known.update((local, *others))
        return known if _has_warm_up_rate(tables) else ()

    def _make_topology(self, cell: cells.CellView) -> placement.Topology:
        """Returns where the instances of the cell are, and what they can do."""
        cell_members = set(cell.members)
        members = [
            member for member in self._members.live_members() if member.instance in cell_members
        ]
        return placement.Topology(
            {member.instance: member.capacity for member in members},
            {member.instance: member.zone for member in members},
        )

    def _is_current(self, tables: data.Tables, fleet_size: int) -> bool:
        """Returns whether neither tables nor instances have changed since the last view."""
        if self.view is None or self._neighbour_inputs is None:
            return False
        is_same = self.view.tables is tables and self.view.fleet_size == fleet_size
        return is_same and self._neighbour_inputs.revision == self._members.revision

    def _choose_cell(self, tables: data.Tables, fleet_size: int, live_count: int) -> cells.CellView:
        if not self._has_cells:
            return cells.NO_CELL
        capacity = cells.mean_capacity(self._members.live_members())
        size = self._spread_settings.cell_size or cells.size_for(live_count, tables, capacity)
        return cells.make_view(self._members, size, fleet_size)


def _decides_alike(first: events.ViewChanged, second: events.ViewChanged) -> bool:
    """Returns whether two views lead to the same decisions.

    With cells, the other instances do not matter as long as the limits are divided alike.
    """
    return (
        bool(first.cell)
        and first.tables is second.tables
        and first.budget_share == second.budget_share
        and first.cell == second.cell
        and first.cells == second.cells
        and first.topology == second.topology
        and first.known_instances == second.known_instances
    )


def _has_warm_up_rate(tables: data.Tables) -> bool:
    """Returns whether any service states a rate for its cold servers."""
    return any(
        servers and servers[0].warm_up_rate > 0.0
        for pool in tables.pool_by_id.values()
        for servers in pool.servers_by_service.values()
    )
