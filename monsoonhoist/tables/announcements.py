"""Collects the revisions that an instance announces to its peers.

A value reaches an instance over several streams at almost the same time. If each instance
announced each value to all of its peers at once, most announcements would be of values that the
peer has announced itself; while many servers register they would take most of a slow link.
Announcements are therefore collected for a short time, and not made to peers that have announced
the same revision meanwhile.
"""

from collections.abc import Iterable

import msgspec

from monsoonhoist.core import data
from monsoonhoist.protocol import messages


class _Heard(msgspec.Struct):
    """Peers that have announced a revision of a key.

    Attributes:
        revision: The revision.
        peers: The peers.
    """

    revision: messages.Revision
    peers: set[data.InstanceId]

    def covers(self, revision: messages.Revision) -> bool:
        """Returns whether the peers know a revision of the key, or a newer one of its era."""
        return _order_key(self.revision) >= _order_key(revision)


class Announcements:
    """Revisions to be announced, and the peers that have announced them themselves."""

    def __init__(self) -> None:
        self._pending_by_key: dict[data.TableKey, messages.Revision] = {}
        self._heard_by_key: dict[data.TableKey, _Heard] = {}

    def record_heard(
        self,
        peer: data.InstanceId,
        announced: Iterable[messages.Revision],
        newer: Iterable[messages.Revision],
    ) -> None:
        """Records which revisions a peer has announced.

        Args:
            peer: The peer.
            announced: All revisions that it announced.
            newer: Those of them that are newer than this instance's.
        """
        pending = (
            revision
            for revision in announced
            if (own := self._pending_by_key.get(revision.key)) is not None
            and _order_key(own) <= _order_key(revision)
        )
        for revision in (*newer, *pending):
            heard = self._heard_by_key.get(revision.key)
            if heard is None or not heard.covers(revision):
                heard = _Heard(revision, set())
                self._heard_by_key[revision.key] = heard
            if _order_key(heard.revision) == _order_key(revision):
                heard.peers.add(peer)

    def add(self, revisions: Iterable[messages.Revision]) -> None:
        """Adds revisions that have come into force here."""
        for revision in revisions:
            self._pending_by_key[revision.key] = revision

    def take(
        self, peers: Iterable[data.InstanceId]
    ) -> dict[data.InstanceId, list[messages.Revision]]:
        """Removes the revisions to be announced, and returns those that each peer may not have."""
        pending = list(self._pending_by_key.values())
        self._pending_by_key.clear()
        revisions_by_peer = {
            peer: [revision for revision in pending if not self._has_announced(peer, revision)]
            for peer in peers
        }
        for revision in pending:
            self._heard_by_key.pop(revision.key, None)
        return revisions_by_peer

    def _has_announced(self, peer: data.InstanceId, revision: messages.Revision) -> bool:
        heard = self._heard_by_key.get(revision.key)
        return heard is not None and heard.covers(revision) and peer in heard.peers


def _order_key(revision: messages.Revision) -> tuple[int, int]:
    return (revision.era, revision.number)
