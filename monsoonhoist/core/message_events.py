"""Which kernel a message of another instance is for, and the event that it stands for."""

from monsoonhoist.core import data, events, messages


def to_entry_event(sender: data.InstanceId, message: messages.Message) -> events.EntryEvent | None:
    """Returns the entry's event for a message, or None if it is not for the entry."""
    match message:
        case messages.SubReply():
            return events.ReplyArrived(sender, message)
        case messages.BatchTaken():
            return events.BatchTaken(sender, message.query_id)
        case messages.CallsWanted():
            return events.CallsWanted(sender, message)
    return None


def to_owner_event(message: messages.Message) -> events.OwnerEvent | None:
    """Returns the owner's event for a message, or None if it is not for the owner."""
    match message:
        case messages.SubBatch():
            return events.BatchArrived(message)
        case messages.CallsAllowed():
            return events.CallsAllowed(message)
        case messages.Cancel():
            return events.CancelArrived(message.query_id, message.is_abandoned, message.services)
    return None
