"""Steps that put long and unreadable table values between two instances."""

import asyncio
import json
import random
import string
import zlib

from behave import given, then, when

from features import store_values
from features.steps import removed_keys
from monsoonhoist import errors
from monsoonhoist.core import clock, data, exchange
from monsoonhoist.node import streams
from monsoonhoist.protocol import fanout, messages, packed_tables
from monsoonhoist.shards import replies
from monsoonhoist.tables import store

OLD, NEW = removed_keys.NAMES
CONFIG_KEY = data.TableKey("op/config")
ODD_KEY = data.TableKey("servers/odd")
RETRY_STEP_SECONDS = 0.5
STREAM_SECONDS = 5.0


def make_config(version, length=0):
    """Returns a configuration, with as many random bytes of JSON as its length requires."""
    text = store_values.make_config(version)
    if length:
        filler = "".join(random.Random(1).choices(string.ascii_letters + string.digits, k=length))
        text = text[:-1] + ', "Filler": "'
        text += filler[: length - len(text) - 2] + '"}'
    return messages.TableValue(CONFIG_KEY, 10 * version, text)


def make_long_value(key, number, length):
    """Returns a value of another writer."""
    text = json.dumps({"Seq": 1, "Notes": ""})
    notes = "x" * (length - len(text))
    return messages.TableValue(data.TableKey(key), number, json.dumps({"Seq": 1, "Notes": notes}))


@given("two instances that are not connected")
def make_pair(context):
    """Makes two instances without values."""
    context.clock = clock.ManualClock()
    context.pair = removed_keys.Pair(context.clock)


@given("two connected instances with the configuration 1")
def make_connected_pair(context):
    """Connects two instances, one of which has read a configuration."""
    make_pair(context)
    context.pair.read(OLD, (make_config(1),), 0)
    context.pair.connect()
    check_config(context, 1)
    context.pair.frame_lengths.clear()


def read(context, *values):
    """Passes values of the store to the new instance."""
    context.pair.read(NEW, values, 0)


@when('instance "new" reads the configuration 2 and the value "{key}" of {length:d} bytes')
def read_config_and_value(context, key, length):
    """Reads both at once."""
    read(context, make_long_value(key, 15, length), make_config(2))


@when('instance "new" reads the value "{key}" of {length:d} bytes')
def read_value(context, key, length):
    """Reads a value of another writer."""
    read(context, make_long_value(key, 15, length))


@when('instance "new" reads the configuration 2, of {length:d} bytes that cannot be compressed')
def read_long_config(context, length):
    """Reads a long configuration."""
    value = make_config(2, length)
    assert len(value.text) == length
    read(context, value)


@when(
    'instance "new" reads the configuration 1 and the items of {count:d} servers, and is connected'
)
def read_many(context, count):
    """Reads a whole store and connects the instances."""
    servers = (removed_keys.make_value(f"i-{number:08x}", 20) for number in range(count))
    read(context, make_config(1), *servers)
    context.pair.connect()


@given('the server "kept" and the server "spoiled" are in force at both')
def read_servers(context):
    """Reads the items of two servers."""
    read(context, removed_keys.make_value("kept", 11), removed_keys.make_value("spoiled", 12))
    check_servers(context)


@when('instance "new" reads the item of the server "spoiled" again')
def read_server_again(context):
    """Reads a later item of the server."""
    read(context, removed_keys.make_value("spoiled", 20))


@then("the configuration {version:d} is in force at both instances")
def check_config(context, version):
    """Checks the snapshot of the pools, which is the configuration's version."""
    for replicator in context.pair.replicator_by_name.values():
        snapshots = {pool.snapshot for pool in replicator.store.tables.pool_by_id.values()}
        assert snapshots == {version}, snapshots


@then("both instances have the same digest")
def check_digests(context):
    """Checks that a heartbeat would find no difference."""
    digests = {each.digest for each in context.pair.replicator_by_name.values()}
    assert len(digests) == 1


@then("no message was longer than {length:d} bytes")
def check_lengths(context, length):
    """Checks the lengths of the messages delivered."""
    assert context.pair.frame_lengths
    assert max(context.pair.frame_lengths) <= length, max(context.pair.frame_lengths)


@then('only the server "kept" is in force at both instances')
def check_one_server(context):
    """Checks the servers in force."""
    for name in removed_keys.NAMES:
        assert removed_keys.servers_in_force(context, name) == {"kept"}


@then('the server "kept" and the server "spoiled" are in force at both')
def check_servers(context):
    """Checks the servers in force."""
    for name in removed_keys.NAMES:
        assert removed_keys.servers_in_force(context, name) == {"kept", "spoiled"}


@when('instance "new" receives the server "good" and the value "servers/odd", {defect}')
def receive_unreadable(context, defect):
    """Passes a message with a value that cannot be read to an instance."""
    deflated = {
        "cut off": zlib.compress(b"x" * 100)[:-6],
        "of no known format": b"no deflated text",
        "of 5000000 bytes": zlib.compress(b"x" * 5_000_000),
        "that is no text": zlib.compress(b"\xff\xfe"),
    }[defect]
    good = packed_tables.pack(removed_keys.make_value("good", 21))
    message = messages.PackedTables((messages.PackedTable(ODD_KEY, 30, deflated), good))
    context.pair.replicator_by_name[NEW].handle_message(OLD, message)
    context.pair.deliver()


@then('the server "good" is in force at "new"')
def check_good(context):
    """Checks that the other value of the message is in force."""
    assert removed_keys.servers_in_force(context, NEW) == {"good"}


def hear(context, number):
    """Announces a value and records the keys that are requested."""
    revision = messages.Revision(ODD_KEY, number, store.digest_of("odd"))
    pair = context.pair
    pair.replicator_by_name[NEW].handle_message(OLD, messages.Revisions((revision,)))
    context.request_count += sum(
        isinstance(message, messages.WantTables) for _, _, message in pair.pending
    )
    pair.pending.clear()


@when('instance "new" hears of the same value for {seconds:d} s')
def hear_repeatedly(context, seconds):
    """Announces the value as often as the comparison of digests would."""
    context.request_count = 0
    for _ in range(int(seconds / RETRY_STEP_SECONDS)):
        context.clock.advance(RETRY_STEP_SECONDS)
        hear(context, 30)


@when('instance "new" hears of a later value of "servers/odd"')
def hear_later(context):
    """Announces a value with a larger number."""
    context.request_count = 0
    hear(context, 31)


@then("it has requested it {count:d} times")
@then("it has requested it {count:d} time")
def check_requests(context, count):
    """Checks how often the value was requested."""
    assert context.request_count == count, context.request_count


@given("a stream between two instances whose frames have at most {length:d} bytes")
def set_frame_length(context, length):
    """Stores the limit of the stream."""
    context.frame_length = length


@when("a message of {length:d} bytes and then a short one are sent on it")
def send_messages(context, length):
    """Sends both over a connection on loopback."""
    asyncio.run(send_both(context, length))


async def send_both(context, length):
    """Sends a long message and a short one, and waits until the short one has arrived."""
    loop = asyncio.get_running_loop()
    arrived = loop.create_future()
    long_message = messages.WantTables((data.TableKey("x" * length),))
    short_message = messages.HeartbeatReply(7)

    def make_stream(handle_message=lambda message: None):
        return streams.MessageStream(
            context.frame_length, 10 * length, handle_message, lambda error: None
        )

    server = await loop.create_server(lambda: make_stream(arrived.set_result), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    _, stream = await loop.create_connection(make_stream, "127.0.0.1", port)
    try:
        stream.send(long_message)
        context.is_refused = False
    except errors.FrameTooLargeError:
        context.is_refused = True
    stream.send(short_message)
    context.arrived = await asyncio.wait_for(arrived, STREAM_SECONDS)
    stream.close()
    server.close()


@then("the first was refused, and the other side has received the second")
def check_stream(context):
    """Checks both messages."""
    assert context.is_refused
    assert context.arrived == messages.HeartbeatReply(7), context.arrived


@when("a reply with a part and a response of {length:d} bytes cannot be sent")
def make_reply(context, length):
    """Makes the reply that is sent instead."""
    response = exchange.Response(200, (), b"x" * length)
    part = fanout.Part(
        data.ServiceId("s"), 1, data.Snapshot(1), data.KeyRange(0, 0), (), "proof", response
    )
    reply = messages.SubReply(data.QueryId("q"), (part,), (), {}, 5, 1)
    context.reply_message = replies.make_undeliverable(reply)


@then("a reply is sent in its place whose part has failed, though it may have run")
def check_reply(context):
    """Checks the reply and its length."""
    reply = context.reply_message
    (failure,) = reply.failures
    assert not reply.parts
    assert failure.may_have_run
    assert (failure.service, failure.calls) == ("s", 1)
    assert len(messages.encode(reply)) < 1000
