"""Steps that test the order of values that instances send each other."""

from behave import given, then, when

from features import store_values
from features.steps import removed_keys
from monsoonhoist.core import clock, data
from monsoonhoist.protocol import messages

OLD, NEW = removed_keys.NAMES
CONFIG_KEY = data.TableKey("op/config")
LATER_NUMBER = 1_000_000


@given('instance "old" has a configuration and {count:d} servers, and instance "new" has nothing')
def make_pair(context, count):
    """Makes two instances that are not connected yet."""
    context.clock = clock.ManualClock()
    context.pair = removed_keys.Pair(context.clock)
    servers = [removed_keys.make_value(f"s{number:04}", number + 2) for number in range(count)]
    context.pair.read(OLD, (*servers, removed_keys.make_config_value()), 0)


def deliver_one(context):
    """Delivers the next message and returns it."""
    sender, receiver, message = context.pair.pending.pop(0)
    body = messages.encode(message)
    context.pair.frame_lengths.append(len(body))
    context.pair.replicator_by_name[receiver].handle_message(sender, messages.decode(body))
    return message


def deliver_first(context, count):
    """Connects the instances and delivers some messages, which it returns."""
    context.pair.is_connected = True
    for name in removed_keys.NAMES:
        (other,) = (other for other in removed_keys.NAMES if other != name)
        digests = context.pair.replicator_by_name[name].bucket_digests()
        context.pair.pending.append((name, other, digests))
    return [deliver_one(context) for _ in range(count)]


@when(
    'the instances are connected, and a configuration is written at "old" after {count:d} messages'
)
def connect_and_write(context, count):
    """Writes a configuration while values are on their way."""
    context.first_messages = deliver_first(context, count)
    context.pair.frame_lengths.clear()
    value = messages.TableValue(CONFIG_KEY, LATER_NUMBER, store_values.make_config(2))
    context.pair.replicator_by_name[OLD].offer((value,), "service")
    new_store = context.pair.replicator_by_name[NEW].store
    context.bytes_until_config = None
    while context.pair.pending:
        context.first_messages.append(deliver_one(context))
        is_in_force = new_store.revision_by_key[CONFIG_KEY].number == LATER_NUMBER
        if context.bytes_until_config is None and is_in_force:
            context.bytes_until_config = sum(context.pair.frame_lengths)


@then('the first value that "new" requested and received is the configuration')
def check_first(context):
    """Checks the first request and the first values."""
    requests = [
        message for message in context.first_messages if isinstance(message, messages.WantTables)
    ]
    values = [
        message for message in context.first_messages if isinstance(message, messages.PackedTables)
    ]
    assert requests[0].keys == (CONFIG_KEY,), requests[0].keys[:3]
    assert [table.key for table in values[0].tables] == [CONFIG_KEY]


@then('at most {count:d} bytes are delivered from the write until it is in force at "new"')
def check_bytes(context, count):
    """Checks how much was sent before the configuration."""
    assert context.bytes_until_config is not None
    assert context.bytes_until_config <= count, context.bytes_until_config


@when("the instances are connected, and the messages after the first {count:d} are lost")
def lose_messages(context, count):
    """Loses all messages on their way, as the end of a stream does."""
    deliver_first(context, count)
    context.pair.pending.clear()


@when("the instances compare their tables again {seconds:d} s later")
def compare_again(context, seconds):
    """Connects the instances again."""
    context.clock.advance(seconds)
    context.pair.connect()


@then('all {count:d} servers are in force at "new"')
def check_all(context, count):
    """Counts the servers in force."""
    assert len(removed_keys.servers_in_force(context, NEW)) == count
