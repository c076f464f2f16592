"""Instances of the deployment, as one instance sees them.

Three sources are joined: the platform's instance list, which lags; what instances
state of themselves, which newer statements of the same instance overrule; and which
streams are up. No agreement between instances is needed.
"""

import math
from collections.abc import Iterable

import msgspec

from monsoonhoist.core import data, hashing

# Share of an instance's neighbours that are of other availability zones.
OTHER_ZONES_SHARE = 0.3


class ListedInstance(msgspec.Struct, frozen=True):
    """One row of the platform's instance list.

    Attributes:
        instance: Name of the instance.
        host: IP number.
        peer_port: TCP port of instance streams.
        zone: Availability zone.
        state: ``live`` or ``leaving``.
    """

    instance: data.InstanceId
    host: str
    peer_port: int
    zone: data.ZoneId
    state: data.MemberState


class Membership:
    """Joined view of the instances.

    Attributes:
        myself: What this instance states of itself.
        revision: Grows with each change of the view.
    """

    def __init__(self, local_member: data.Member):
        self.local_member = local_member
        self.revision = 0
        self._member_by_id: dict[data.InstanceId, data.Member] = {}
        self._listed_by_id: dict[data.InstanceId, ListedInstance] = {}
        self._down_instances: set[data.InstanceId] = set()

    def set_listed(self, rows: Iterable[ListedInstance]) -> None:
        """Takes over a reading of the platform's instance list.

        An unlisted instance whose stream is down is forgotten.
        """
        listed_by_id = {row.instance: row for row in rows}
        if listed_by_id != self._listed_by_id:
            self._listed_by_id = listed_by_id
            self.revision += 1
        for instance in list(self._down_instances):
            if instance not in self._listed_by_id and instance in self._member_by_id:
                del self._member_by_id[instance]
                self._down_instances.discard(instance)
                self.revision += 1

    def merge(self, members: Iterable[data.Member]) -> tuple[data.Member, ...]:
        """Takes in statements; returns those that were news."""
        news = []
        for member in members:
            if member.instance == self.local_member.instance:
                continue
            known = self._member_by_id.get(member.instance)
            if known is None or _version_key(member) > _version_key(known):
                self._member_by_id[member.instance] = member
                self.revision += 1
                news.append(member)
                if known is None or member.incarnation > known.incarnation:
                    self._down_instances.discard(member.instance)
        return tuple(news)

    def record_stream(self, instance: data.InstanceId, is_up: bool) -> None:
        """Takes note of whether the stream to an instance is up."""
        if is_up != (instance in self._down_instances):
            return
        self.revision += 1
        if is_up:
            self._down_instances.discard(instance)
        else:
            self._down_instances.add(instance)

    def mark_leaving(self) -> data.Member:
        """States that this instance is leaving, and returns the statement."""
        self.revision += 1
        self.local_member = msgspec.structs.replace(
            self.local_member, version=self.local_member.version + 1, state=data.MemberState.LEAVING
        )
        return self.local_member

    def state_of(self, instance: data.InstanceId) -> data.MemberState:
        """Returns an instance's state in this view."""
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
        """Returns another instance's record, or None if it is not known."""
        member = self._member_by_id.get(instance)
        if member is not None:
            return member
        listed = self._listed_by_id.get(instance)
        return _as_member(listed) if listed is not None else None

    def other_members(self) -> tuple[data.Member, ...]:
        """Returns all other instances that are listed or have stated themselves."""
        member_by_id = {
            row.instance: _as_member(row)
            for row in self._listed_by_id.values()
            if row.instance != self.local_member.instance
        }
        member_by_id.update(self._member_by_id)
        return tuple(member_by_id[instance] for instance in sorted(member_by_id))

    def live(self) -> tuple[data.InstanceId, ...]:
        """Returns the instances that may own shards, sorted.

        A leaving instance keeps itself in its view only if it knows no other.
        """
        others = [
            member.instance
            for member in self.other_members()
            if self.state_of(member.instance) is data.MemberState.LIVE
        ]
        if self.local_member.state is data.MemberState.LIVE or not others:
            others.append(self.local_member.instance)
        return tuple(sorted(others))

    def cell(self, size: int) -> tuple[data.InstanceId, ...]:
        """Returns the live instances of this instance's cell, sorted.

        The instances of an availability zone are dealt to its cells in the order of their
        names, so that all of them see the same cells while they see the same instances.
        """
        mates = self._live_in_zone()
        myself = self.local_member.instance
        if myself not in mates:
            return (myself,)
        count = max(1, round(len(mates) / size))
        return tuple(mates[mates.index(myself) % count :: count])

    def member_count(self) -> int:
        """Returns the number of instances that are known, this one included."""
        others = self._member_by_id.keys() | self._listed_by_id.keys()
        return len(others | {self.local_member.instance})

    def _live_in_zone(self) -> list[data.InstanceId]:
        """Returns the live instances of this instance's availability zone, sorted."""
        zone = self.local_member.zone
        zone_by_id = {member.instance: member.zone for member in self.other_members()}
        zone_by_id[self.local_member.instance] = zone
        return [instance for instance in self.live() if zone_by_id.get(instance) == zone]

    def watch_position(self) -> int:
        """Returns this instance's place in the order of watchers, over all zones."""
        candidates = sorted(self.live(), key=_watch_weight, reverse=True)
        if self.local_member.instance not in candidates:
            return len(candidates)
        return candidates.index(self.local_member.instance)

    def is_watcher(self, watchers_per_zone: int) -> bool:
        """Returns whether this instance is to watch the configuration service.

        In each availability zone these are the live instances with the largest weight.
        """
        candidates = sorted(self._live_in_zone(), key=_watch_weight, reverse=True)
        return self.local_member.instance in candidates[:watchers_per_zone]

    def neighbours(
        self, degree: int, cell: tuple[data.InstanceId, ...] = ()
    ) -> tuple[data.Member, ...]:
        """Returns the instances to keep a stream to, at most ``degree`` besides the cell.

        Most are of the own availability zone, since traffic between zones is dear. Of each
        kind half are the next ones on a ring by hash, which keeps the graph connected; the
        others are those with the largest pairwise weight, which keeps it shallow.
        """
        known = self.other_members()
        mates = tuple(member for member in known if member.instance in cell)
        others = [member for member in known if member.instance not in cell]
        if len(others) <= degree:
            return mates + tuple(others)
        own = [member for member in others if member.zone == self.local_member.zone]
        far = [member for member in others if member.zone != self.local_member.zone]
        far_count = max(math.ceil(degree * OTHER_ZONES_SHARE), degree - len(own))
        near = self._spread_neighbours(own, degree - far_count)
        return mates + near + self._spread_neighbours(far, far_count)

    def _spread_neighbours(self, others: list[data.Member], degree: int) -> tuple[data.Member, ...]:
        """Returns the instances to keep a stream to for news."""
        if len(others) <= degree:
            return tuple(others)
        mine = _ring_position(self.local_member.instance)
        ring = sorted(others, key=lambda member: (_ring_position(member.instance) - mine) % 2**64)
        ring_count = (degree + 1) // 2
        chosen = ring[:ring_count]
        rest = sorted(ring[ring_count:], key=self._pair_weight, reverse=True)
        return tuple(chosen + rest[: degree - ring_count])

    def _pair_weight(self, member: data.Member) -> int:
        return hashing.weight(*sorted((self.local_member.instance, member.instance)))


def _as_member(row: ListedInstance) -> data.Member:
    """Returns a row of the list as a statement that any of the instance's own overrules."""
    return data.Member(
        row.instance, data.Incarnation(0), 0, row.state, row.host, row.peer_port, row.zone
    )


def _ring_position(instance: data.InstanceId) -> int:
    return hashing.weight(instance)


def _watch_weight(instance: data.InstanceId) -> int:
    return hashing.weight("watch", instance)


def _version_key(member: data.Member) -> tuple[int, int]:
    return (member.incarnation, member.version)
