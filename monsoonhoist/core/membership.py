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

    def __init__(self, myself: data.Member):
        self.myself = myself
        self.revision = 0
        self._member_by_id: dict[data.InstanceId, data.Member] = {}
        self._listed_by_id: dict[data.InstanceId, ListedInstance] = {}
        self._down: set[data.InstanceId] = set()

    def set_listed(self, rows: Iterable[ListedInstance]) -> None:
        """Takes over a reading of the platform's instance list.

        An unlisted instance whose stream is down is forgotten.
        """
        listed_by_id = {row.instance: row for row in rows}
        if listed_by_id != self._listed_by_id:
            self._listed_by_id = listed_by_id
            self.revision += 1
        for instance in list(self._down):
            if instance not in self._listed_by_id and instance in self._member_by_id:
                del self._member_by_id[instance]
                self._down.discard(instance)
                self.revision += 1

    def merge(self, members: Iterable[data.Member]) -> tuple[data.Member, ...]:
        """Takes in statements; returns those that were news."""
        news = []
        for member in members:
            if member.instance == self.myself.instance:
                continue
            known = self._member_by_id.get(member.instance)
            if known is None or _order(member) > _order(known):
                self._member_by_id[member.instance] = member
                self.revision += 1
                news.append(member)
                if known is None or member.incarnation > known.incarnation:
                    self._down.discard(member.instance)
        return tuple(news)

    def note_stream(self, instance: data.InstanceId, is_up: bool) -> None:
        """Takes note of whether the stream to an instance is up."""
        if is_up != (instance in self._down):
            return
        self.revision += 1
        if is_up:
            self._down.discard(instance)
        else:
            self._down.add(instance)

    def leave(self) -> data.Member:
        """States that this instance is leaving, and returns the statement."""
        self.revision += 1
        self.myself = msgspec.structs.replace(
            self.myself, version=self.myself.version + 1, state=data.MemberState.LEAVING
        )
        return self.myself

    def state_of(self, instance: data.InstanceId) -> data.MemberState:
        """Returns an instance's state in this view."""
        if instance == self.myself.instance:
            return self.myself.state
        if instance in self._down:
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

    def known(self) -> tuple[data.Member, ...]:
        """Returns all other instances that are listed or have stated themselves."""
        member_by_id = {
            row.instance: _as_member(row)
            for row in self._listed_by_id.values()
            if row.instance != self.myself.instance
        }
        member_by_id.update(self._member_by_id)
        return tuple(member_by_id[instance] for instance in sorted(member_by_id))

    def live(self) -> tuple[data.InstanceId, ...]:
        """Returns the instances that may own shards, sorted.

        A leaving instance keeps itself in its view only if it knows no other.
        """
        others = [
            member.instance
            for member in self.known()
            if self.state_of(member.instance) is data.MemberState.LIVE
        ]
        if self.myself.state is data.MemberState.LIVE or not others:
            others.append(self.myself.instance)
        return tuple(sorted(others))

    def cell(self, size: int) -> tuple[data.InstanceId, ...]:
        """Returns the live instances of this instance's cell, sorted.

        The instances of an availability zone are dealt to its cells in the order of their
        names, so that all of them see the same cells while they see the same instances.
        """
        mates = self._zone_mates()
        myself = self.myself.instance
        if myself not in mates:
            return (myself,)
        count = max(1, round(len(mates) / size))
        return tuple(mates[mates.index(myself) % count :: count])

    def known_count(self) -> int:
        """Returns the number of instances that are known, this one included."""
        others = self._member_by_id.keys() | self._listed_by_id.keys()
        return len(others | {self.myself.instance})

    def _zone_mates(self) -> list[data.InstanceId]:
        """Returns the live instances of this instance's availability zone, sorted."""
        zone = self.myself.zone
        zone_by_id = {member.instance: member.zone for member in self.known()}
        zone_by_id[self.myself.instance] = zone
        return [instance for instance in self.live() if zone_by_id.get(instance) == zone]

    def watch_place(self) -> int:
        """Returns this instance's place in the order of watchers, over all zones."""
        candidates = sorted(self.live(), key=_watch_weight, reverse=True)
        if self.myself.instance not in candidates:
            return len(candidates)
        return candidates.index(self.myself.instance)

    def is_watcher(self, watchers_per_zone: int) -> bool:
        """Returns whether this instance is to watch the configuration service.

        In each availability zone these are the live instances with the largest weight.
        """
        candidates = sorted(self._zone_mates(), key=_watch_weight, reverse=True)
        return self.myself.instance in candidates[:watchers_per_zone]

    def neighbours(
        self, degree: int, cell: tuple[data.InstanceId, ...] = ()
    ) -> tuple[data.Member, ...]:
        """Returns the instances to keep a stream to, at most ``degree`` besides the cell.

        Most are of the own availability zone, since traffic between zones is dear. Of each
        kind half are the next ones on a ring by hash, which keeps the graph connected; the
        others are those with the largest pairwise weight, which keeps it shallow.
        """
        known = self.known()
        mates = tuple(member for member in known if member.instance in cell)
        others = [member for member in known if member.instance not in cell]
        if len(others) <= degree:
            return mates + tuple(others)
        own = [member for member in others if member.zone == self.myself.zone]
        far = [member for member in others if member.zone != self.myself.zone]
        far_count = max(math.ceil(degree * OTHER_ZONES_SHARE), degree - len(own))
        near = self._spread_neighbours(own, degree - far_count)
        return mates + near + self._spread_neighbours(far, far_count)

    def _spread_neighbours(self, others: list[data.Member], degree: int) -> tuple[data.Member, ...]:
        """Returns the instances to keep a stream to for news."""
        if len(others) <= degree:
            return tuple(others)
        mine = _ring_position(self.myself.instance)
        ring = sorted(others, key=lambda member: (_ring_position(member.instance) - mine) % 2**64)
        ring_count = (degree + 1) // 2
        chosen = ring[:ring_count]
        rest = sorted(ring[ring_count:], key=self._pair_weight, reverse=True)
        return tuple(chosen + rest[: degree - ring_count])

    def _pair_weight(self, member: data.Member) -> int:
        return hashing.weight(*sorted((self.myself.instance, member.instance)))


def _as_member(row: ListedInstance) -> data.Member:
    """Returns a row of the list as a statement that any of the instance's own overrules."""
    return data.Member(
        row.instance, data.Incarnation(0), 0, row.state, row.host, row.peer_port, row.zone
    )


def _ring_position(instance: data.InstanceId) -> int:
    return hashing.weight(instance)


def _watch_weight(instance: data.InstanceId) -> int:
    return hashing.weight("watch", instance)


def _order(member: data.Member) -> tuple[int, int]:
    return (member.incarnation, member.version)
