"""Membership: the instances of the deployment, from the point of view of one of them.

The view combines three sources: the platform's instance list, which is updated with a delay; the
newest record that each instance has published about itself; and whether the stream to an instance
has failed. The views of different instances may differ.
"""

import functools
from collections.abc import Iterable

import msgspec

from monsoonhoist.core import data, hashing

# Places of a zone's cells that may stay empty after instances have gone, as a share of the live
# instances, before the places are dealt anew.
GONE_PLACES_SHARE = 0.25


class ListedInstance(msgspec.Struct, frozen=True):
    """One row of the platform's instance list.

    Attributes:
        instance: Name of the instance.
        host: IP address.
        peer_port: TCP port for streams from other instances.
        zone: Availability zone.
        state: ``live`` or ``leaving``.
    """

    instance: data.InstanceId
    host: str
    peer_port: int
    zone: data.ZoneId
    state: data.MemberState


class Membership:
    """This instance's view of the deployment's instances.

    Attributes:
        local_member: This instance's record about itself.
        revision: Number that increases with each change of the view.
    """

    def __init__(self, local_member: data.Member):
        self.local_member = local_member
        self.revision = 0
        self._member_by_id: dict[data.InstanceId, data.Member] = {}
        self._listed_by_id: dict[data.InstanceId, ListedInstance] = {}
        self._down_instances: set[data.InstanceId] = set()
        self._snapshot: _Snapshot | None = None
        # The live instances when places in cells were last considered, and those that have a place
        # although they have gone.
        self._placed_by_id: dict[data.InstanceId, data.Member] = {}
        self._gone_by_id: dict[data.InstanceId, data.Member] = {}

    def _mark_changed(self) -> None:
        """Counts a change of the view; what is derived from the view is computed again."""
        self.revision += 1
        self._snapshot = None

    def _current(self) -> "_Snapshot":
        """Returns what is derived from the present view."""
        if self._snapshot is None:
            self._snapshot = self._make_snapshot()
        return self._snapshot

    def _make_snapshot(self) -> "_Snapshot":
        member_by_id = {
            row.instance: _as_member(row)
            for row in self._listed_by_id.values()
            if row.instance != self.local_member.instance
        }
        member_by_id.update(self._member_by_id)
        others = tuple(member_by_id[instance] for instance in sorted(member_by_id))
        live = [
            member for member in others if self.state_of(member.instance) is data.MemberState.LIVE
        ]
        if self.local_member.state is data.MemberState.LIVE or not live:
            live.append(self.local_member)
        live.sort(key=lambda member: member.instance)
        return _Snapshot(others, tuple(live), self._place(live))

    def _place(self, live: list[data.Member]) -> dict[data.ZoneId, list[data.Member]]:
        """Returns the instances of each zone that have a place in its cells, in their order.

        These are the live ones, and those that have gone since the places were last dealt. They are
        dealt anew when the latter are more than a share of the former.
        """
        live_by_id = {member.instance: member for member in live}
        for member in self._placed_by_id.values():
            if member.instance not in live_by_id:
                self._gone_by_id[member.instance] = member
        placed_by_zone: dict[data.ZoneId, list[data.Member]] = {}
        for member in live:
            self._gone_by_id.pop(member.instance, None)
            placed_by_zone.setdefault(member.zone, []).append(member)
        for zone, members in placed_by_zone.items():
            gone = [member for member in self._gone_by_id.values() if member.zone == zone]
            if len(gone) <= GONE_PLACES_SHARE * len(members):
                members.extend(gone)
            else:
                for member in gone:
                    del self._gone_by_id[member.instance]
            # Instances of a large capacity come first, so that each cell gets its part of them.
            members.sort(key=lambda member: (-member.capacity, member.instance))
        self._placed_by_id = live_by_id
        return placed_by_zone

    def set_listed(self, rows: Iterable[ListedInstance]) -> None:
        """Replaces the platform's instance list by a newly read one.

        An instance that is not listed and whose stream is down is removed from the view.
        """
        listed_by_id = {row.instance: row for row in rows}
        if listed_by_id != self._listed_by_id:
            self._listed_by_id = listed_by_id
            self._mark_changed()
        for instance in list(self._down_instances):
            if instance not in self._listed_by_id and instance in self._member_by_id:
                del self._member_by_id[instance]
                self._down_instances.discard(instance)
                self._mark_changed()

    def merge(self, members: Iterable[data.Member]) -> tuple[data.Member, ...]:
        """Applies records received from other instances; returns those that were new.

        A record is new if it is the first of its instance or newer than the stored one.
        """
        new_members = []
        for member in members:
            if member.instance == self.local_member.instance:
                continue
            current = self._member_by_id.get(member.instance)
            if current is None or _version_key(member) > _version_key(current):
                self._member_by_id[member.instance] = member
                self._mark_changed()
                new_members.append(member)
                if current is None or member.incarnation > current.incarnation:
                    self._down_instances.discard(member.instance)
        return tuple(new_members)

    def record_stream(self, instance: data.InstanceId, is_up: bool) -> None:
        """Records whether the stream to an instance is up."""
        if is_up != (instance in self._down_instances):
            return
        self._mark_changed()
        if is_up:
            self._down_instances.discard(instance)
        else:
            self._down_instances.add(instance)

    def mark_leaving(self) -> data.Member:
        """Marks this instance as leaving and returns its new record."""
        return self._update_local(state=data.MemberState.LEAVING)

    def mark_accepting(self) -> data.Member:
        """Marks this instance as one that may own shards and returns its new record."""
        return self._update_local(accepts_work=True)

    def _update_local(self, **changes: object) -> data.Member:
        self._mark_changed()
        version = self.local_member.version + 1
        self.local_member = msgspec.structs.replace(self.local_member, version=version, **changes)
        return self.local_member

    def accepting(self, instances: tuple[data.InstanceId, ...]) -> tuple[data.InstanceId, ...]:
        """Returns those of some instances that may own shards, or all if none may."""
        refusing = {member.instance for member in self._current().live if not member.accepts_work}
        return tuple(each for each in instances if each not in refusing) or instances

    def state_of(self, instance: data.InstanceId) -> data.MemberState:
        """Returns an instance's state in this view; ``gone`` if it is unknown."""
        if instance == self.local_member.instance:
            return self.local_member.state
        if instance in self._down_instances:
            return data.MemberState.GONE
        member = self._member_by_id.get(instance)
        if member is not None:
            return member.state
        listed = self._listed_by_id.get(instance)
        return listed.state if listed is not None else data.MemberState.GONE

    def find(self, instance: data.InstanceId) -> data.Member | None:
        """Returns another instance's record, or None if the instance is unknown."""
        member = self._member_by_id.get(instance)
        if member is not None:
            return member
        listed = self._listed_by_id.get(instance)
        return _as_member(listed) if listed is not None else None

    def other_members(self) -> tuple[data.Member, ...]:
        """Returns the records of all other known instances, sorted by name.

        These are the instances that are listed or have sent a record about themselves.
        """
        return self._current().others

    def live_members(self) -> tuple[data.Member, ...]:
        """Returns the records of the live instances, sorted by name.

        This instance is included while it is leaving only if no other instance is live.
        """
        return self._current().live

    def live(self) -> tuple[data.InstanceId, ...]:
        """Returns the live instances, which may own shards, sorted."""
        return self._current().live_instances

    def cell(self, size: int) -> tuple[data.InstanceId, ...]:
        """Returns the live instances of this instance's cell, sorted.

        The instances of an availability zone are dealt to its cells round-robin in the order of
        their capacity and names, so that all instances with the same view compute the same cells.
        An instance that has gone keeps its place for a while, so that the others stay in their
        cells. An instance that is not in its own view of the live ones is alone in its cell.

        Args:
            size: Intended number of instances of a cell.
        """
        local_name = self.local_member.instance
        placed = self._current().placed_by_zone.get(self.local_member.zone, ())
        names = [member.instance for member in placed]
        if local_name not in self.live() or local_name not in names:
            return (local_name,)
        cell_count = max(1, round(len(names) / size))
        live = set(self.live())
        cell = names[names.index(local_name) % cell_count :: cell_count]
        return tuple(sorted(instance for instance in cell if instance in live))

    def live_by_zone(self) -> dict[data.ZoneId, list[data.Member]]:
        """Returns the live instances of each availability zone, sorted by name."""
        return self._current().live_by_zone

    def member_count(self) -> int:
        """Returns the number of known instances, including this one."""
        return len(self.other_members()) + 1

    def _live_in_zone(self) -> list[data.Member]:
        """Returns the live instances in this instance's availability zone, sorted by name."""
        return self.live_by_zone().get(self.local_member.zone, [])

    def watch_position(self) -> int:
        """Returns this instance's position, from 0, in the order of watchers.

        The watchers of the configuration service are selected from the live instances of all
        availability zones in this order: first the preferred instance of each zone, then the next
        one of each, and so on, so that the first two are in different zones. Instances of a larger
        capacity come first among them, since small ones have slow links: a long reply of the
        service would hold up what they pass on. Instances of the same capacity are ordered by
        their hash weights.

        An instance that is not in its own view of the live ones gets the position after the last.
        """
        return self._current().watch_position(self.local_member.instance)

    def is_watcher(self, watchers_per_zone: int) -> bool:
        """Returns whether this instance should watch the configuration service.

        The watchers of an availability zone are its live instances with the largest capacity, and
        of these the ones with the largest hash weights.

        Args:
            watchers_per_zone: Number of watchers in each zone.
        """
        candidates = sorted(self._live_in_zone(), key=_watch_order)[:watchers_per_zone]
        return self.local_member.instance in [member.instance for member in candidates]


class _Snapshot:
    """What is derived from one revision of the view.

    Args:
        others: Records of all other known instances, sorted by name.
        live: Records of the live instances, sorted by name.
        placed_by_zone: Instances of each zone in the order in which they are dealt to cells.
    """

    def __init__(
        self,
        others: tuple[data.Member, ...],
        live: tuple[data.Member, ...],
        placed_by_zone: dict[data.ZoneId, list[data.Member]],
    ):
        self.others = others
        self.live = live
        self.placed_by_zone = placed_by_zone
        self.live_instances = tuple(member.instance for member in live)

    @functools.cached_property
    def live_by_zone(self) -> dict[data.ZoneId, list[data.Member]]:
        """Live instances of each availability zone, sorted by name."""
        members_by_zone: dict[data.ZoneId, list[data.Member]] = {}
        for member in self.live:
            members_by_zone.setdefault(member.zone, []).append(member)
        return members_by_zone

    @functools.cached_property
    def _position_by_instance(self) -> dict[data.InstanceId, int]:
        rank_by_instance = {
            member.instance: rank
            for members in self.live_by_zone.values()
            for rank, member in enumerate(sorted(members, key=_watch_order))
        }
        candidates = sorted(
            self.live,
            key=lambda member: (rank_by_instance[member.instance], *_watch_order(member)),
        )
        return {member.instance: position for position, member in enumerate(candidates)}

    def watch_position(self, instance: data.InstanceId) -> int:
        """Returns an instance's position, from 0, in the order of watchers."""
        return self._position_by_instance.get(instance, len(self.live))


def _as_member(row: ListedInstance) -> data.Member:
    """Returns a listed instance as a record that is older than any that the instance sends."""
    return data.Member(
        row.instance, data.Incarnation(0), 0, row.state, row.host, row.peer_port, row.zone
    )


def _watch_order(member: data.Member) -> tuple[float, int]:
    """Returns the key by which instances are preferred as watchers, smallest first."""
    return (-member.capacity, -hashing.stable_hash("watch", member.instance))


def _version_key(member: data.Member) -> tuple[int, int]:
    return (member.incarnation, member.version)
