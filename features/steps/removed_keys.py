"""Steps that connect two instances, one of which has missed the removal of a key."""

import json

from behave import given, then, when

from features import store_values
from monsoonhoist import metrics
from monsoonhoist.core import clock, data
from monsoonhoist.node import replication
from monsoonhoist.platform import store_format
from monsoonhoist.protocol import messages

NAMES = (data.InstanceId("old"), data.InstanceId("new"))
REMOVED_AT = 20


class Pair:
    """Two instances' replicators, whose messages are encoded and delivered in order.

    Args:
        time_source: The clock of both instances.

    Attributes:
        replicator_by_name: The replicators.
        is_connected: Whether messages are delivered.
        frame_lengths: Length of each message delivered, in bytes.
        pending: Messages not yet delivered, with their senders and receivers.
    """

    def __init__(self, time_source=None):
        self.is_connected = False
        self.frame_lengths = []
        self.pending = []
        time_source = time_source or clock.SystemClock()
        self.replicator_by_name = {
            name: replication.TableReplicator(
                store_format.PlatformFormat(0.2),
                time_source,
                metrics.Metrics(name),
                lambda receiver, message, name=name: self._send(name, receiver, message),
                lambda name=name: self._others(name),
                lambda: None,
            )
            for name in NAMES
        }

    def _others(self, name):
        return tuple(other for other in NAMES if other != name and self.is_connected)

    def _send(self, sender, receiver, message):
        self.pending.append((sender, receiver, message))
        return True

    def connect(self):
        """Connects the instances, which compare their tables."""
        self.is_connected = True
        for name in NAMES:
            replicator = self.replicator_by_name[name]
            (other,) = self._others(name)
            self._send(name, other, replicator.bucket_digests())
        self.deliver()

    def deliver(self):
        """Delivers messages until there are none."""
        while self.pending:
            sender, receiver, message = self.pending.pop(0)
            body = messages.encode(message)
            self.frame_lengths.append(len(body))
            self.replicator_by_name[receiver].handle_message(sender, messages.decode(body))

    def read(self, name, values, listed_number):
        """Passes what an instance has read of the store to its replicator."""
        replicator = self.replicator_by_name[name]
        replicator.offer(values, "service")
        replicator.store.record_listing(listed_number)
        self.deliver()


def make_value(name, number):
    """Returns the item of a server."""
    text = json.dumps(store_values.SERVER_ITEM)
    return messages.TableValue(data.TableKey(f"servers/{name}"), number, text)


def make_config_value():
    """Returns the item of the configuration."""
    return messages.TableValue(data.TableKey("op/config"), 1, store_values.make_config(1))


@given('a store of keys with the server "gone", which is removed while instance "old" is cut off')
def make_pair(context):
    """Makes the instances, of which the old one has read the store before the removal."""
    context.pair = Pair()
    values = (make_config_value(), make_value("kept", 2), make_value("gone", 3))
    context.pair.read(NAMES[0], values, 10)


@when('instance "new" starts, reads the store, and is connected to "old"')
def start_new(context):
    """Reads the store after the removal, and connects the instances."""
    context.pair.read(NAMES[1], (make_config_value(), make_value("kept", 2)), REMOVED_AT)
    context.pair.connect()


@when('instance "old" reads a later write of "gone"')
def read_later_write(context):
    """Passes a later item to the old instance."""
    context.pair.read(NAMES[0], (make_value("gone", REMOVED_AT + 5),), 0)


def servers_in_force(context, name):
    """Returns the names of the servers in force at an instance."""
    (pool,) = context.pair.replicator_by_name[name].store.tables.pool_by_id.values()
    return {server.server_id for server in pool.servers_by_service["s"]}


@then('"{server}" is in force at none of the instances')
def check_gone(context, server):
    """Checks that neither instance has the server in force."""
    assert all(server not in servers_in_force(context, name) for name in NAMES)


@then('the server "{server}" is in force at both instances')
def check_present(context, server):
    """Checks that both instances have the server in force."""
    assert all(server in servers_in_force(context, name) for name in NAMES)
