"""Conversion of messages from instances, this one included, to events of the kernels."""

from monsoonhoist.core import data
from monsoonhoist.protocol import events, messages


def to_entry_event(sender: data.InstanceId, message: messages.Message) -> events.EntryEvent | None:
    """Returns a message as an event of the entry, or None if it is not for the entry."""
    match message:
        case messages.SubReply():
            return events.ReplyArrived(sender, message)
        case messages.BatchTaken():
            return events.BatchTaken(sender, message.query_id)
        case messages.CallsWanted():
            return events.CallsWanted(sender, message)
    return None


def to_owner_event(message: messages.Message) -> events.OwnerEvent | None:
    """Returns a message as an event of the owner, or None if it is not for the owner."""
    match message:
        case messages.SubBatch():
            return events.BatchArrived(message)
        case messages.CallsAllowed():
            return events.CallsAllowed(message)
        case messages.Cancel():
            return events.CancelArrived(message.query_id, message.is_abandoned, message.services)
        case messages.ServersLeaving():
            return events.ServersLeaving(message)
    return None
