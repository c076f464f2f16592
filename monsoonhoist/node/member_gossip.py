"""Passes on membership records, those that arrive close together in one message."""

import asyncio
from collections.abc import Callable

from monsoonhoist.core import data
from monsoonhoist.fleet import membership
from monsoonhoist.protocol import messages

# How long a record is delayed to send it with others.
GATHER_SECONDS = 0.02


class MemberGossip:
    """Merges received membership records and forwards those that are new to this instance.

    Args:
        members: This instance's view of all instances.
        send: Sends a message to an instance.
        connected_instances: Returns the instances whose streams are up.
    """

    def __init__(
        self,
        members: membership.Membership,
        send: Callable[[data.InstanceId, messages.Message], bool],
        connected_instances: Callable[[], tuple[data.InstanceId, ...]],
    ):
        self._members = members
        self._send = send
        self._connected_instances = connected_instances
        self._sender_by_member: dict[data.Member, data.InstanceId] = {}
        self._timer: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        """Discards the records that have not been forwarded."""
        if self._timer is not None:
            self._timer.cancel()

    def announce(self, record: data.Member, instances: tuple[data.InstanceId, ...]) -> None:
        """Sends a new record of this instance to others."""
        for instance in instances:
            self._send(instance, messages.Members((record,)))

    def merge(self, sender: data.InstanceId, message: messages.Members) -> bool:
        """Merges received records; returns whether any was new."""
        updates = self._members.merge(message.members)
        if not updates:
            return False
        self._sender_by_member.update(dict.fromkeys(updates, sender))
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(GATHER_SECONDS, self._flush)
        return True

    def _flush(self) -> None:
        """Sends each neighbour the new records that it has not sent itself."""
        self._timer = None
        sender_by_member, self._sender_by_member = self._sender_by_member, {}
        for instance in self._connected_instances():
            updates = tuple(
                member for member, sender in sender_by_member.items() if sender != instance
            )
            if updates:
                self._send(instance, messages.Members(updates))
