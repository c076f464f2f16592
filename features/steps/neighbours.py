"""Steps that test how membership records are passed on."""

import asyncio
import types

import msgspec
from behave import given, then, when
from tornado import netutil

from monsoonhoist import metrics, settings
from monsoonhoist.core import clock, data
from monsoonhoist.fleet import membership
from monsoonhoist.node import member_gossip, peers, stream_protocol, streams, views
from monsoonhoist.protocol import messages
from standins import ports


def make_member(name):
    """Returns the record of an instance."""
    return data.Member(name, 1, 0, data.MemberState.LIVE, "h", 1, "z")


@given('an instance with streams to "{first}" and "{second}"')
def make_instance(context, first, second):
    """Sets the neighbours of an instance."""
    context.neighbours = (data.InstanceId(first), data.InstanceId(second))
    context.sent = []


@when('{count:d} records of other instances arrive from "{sender}" one after another')
def receive_records(context, count, sender):
    """Passes records to the gossip of the instance, one at a time."""

    async def receive():
        gossip = member_gossip.MemberGossip(
            membership.Membership(make_member("self")),
            lambda instance, message: context.sent.append((instance, message)),
            lambda: context.neighbours,
        )
        for number in range(count):
            message = messages.Members((make_member(f"i{number}"),))
            gossip.merge(data.InstanceId(sender), message)
            await asyncio.sleep(0)
        await asyncio.sleep(2 * member_gossip.GATHER_SECONDS)

    asyncio.run(receive())


@then('it has sent 1 message with {count:d} records to "{receiver}" and none to "{sender}"')
def check_sent(context, count, receiver, sender):
    """Checks the receivers and the number of records."""
    ((instance, message),) = context.sent
    assert instance == receiver != sender, instance
    assert len(message.members) == count, len(message.members)


@given("an instance of a cell of {size:d} among {count:d} instances in one zone")
def make_publisher(context, size, count):
    """Makes the publisher of an instance's views, and publishes the first one."""
    names = [f"i{number:02d}" for number in range(count)]
    context.members = membership.Membership(make_member(names[0]))
    context.members.merge(make_member(name) for name in names[1:])
    config = types.SimpleNamespace(
        spread=settings.SpreadSection(cell_size=size),
        policy=settings.PolicySection(ownership="cell"),
    )
    context.published = []
    context.publisher = views.ViewPublisher(
        config,
        context.members,
        types.SimpleNamespace(store=types.SimpleNamespace(tables=data.Tables({}, {}))),
        types.SimpleNamespace(set_neighbours=lambda members, spread: None),
        (context.published.append,),
        clock.SystemClock(),
    )
    context.publisher.refresh()
    context.published.clear()
    context.first_cell = context.publisher.view.cell


def lose(context, instance, ms):
    """Reports the loss of an instance and waits."""

    async def run():
        context.members.record_stream(instance, False)
        context.publisher.refresh()
        await asyncio.sleep(ms / 1000)

    context.lost = instance
    asyncio.run(run())


@when("an instance of another cell is lost and {ms:d} ms pass")
def lose_other(context, ms):
    """Loses an instance with the last name, which changes no position before it."""
    lose(context, context.publisher.view.instances[-1], ms)
    assert context.lost not in context.first_cell


@when("the other instance of its cell is lost and {ms:d} ms pass")
def lose_cell_member(context, ms):
    """Loses the other instance of the cell."""
    (other,) = set(context.first_cell) - {context.members.local_member.instance}
    lose(context, other, ms)


@then("no view has been published, and the latest one lacks the instance")
def check_not_published(context):
    """Checks the views that were published, and the latest one."""
    assert not context.published, context.published
    assert context.lost not in context.publisher.view.instances


@then("a view has been published in which the cell has other instances")
def check_published(context):
    """Checks the cell of the published view."""
    assert context.published
    assert context.lost not in context.published[-1].cell, context.published[-1].cell


# Address of the peers, whose ports are chosen before they listen.
HOST = ports.own_host()


class PeerStandIn(stream_protocol.PeerListener):
    """Listener of an instance's streams that records messages.

    Args:
        name: Name of the instance.
        port: Port of its streams.
        other: Record of the other instance; None if it is not known yet.
    """

    def __init__(self, name, port, other=None):
        self.record = data.Member(name, 1, 0, data.MemberState.LIVE, HOST, port, "z")
        self.other = other
        self.received = []
        self.streams = peers.PeerStreams(
            stream_protocol.PeerOptions(
                "d",
                1_000_000,
                1_000_000,
                settings.TimingSection().heartbeat_ms,
                settings.TimingSection().silence_ms,
            ),
            clock.SystemClock(),
            metrics.Metrics(data.InstanceId(name)),
            self,
        )

    def handle_message(self, sender, message):
        """Records a message that is not about membership."""
        if isinstance(message, messages.Members):
            self.other = message.members[0]
        else:
            self.received.append(message)

    def find_member(self, instance):
        """Returns the record of the other instance."""
        return self.other

    def local_member(self):
        """Returns the record of this instance."""
        return self.record

    def tables_digest(self):
        """Returns an empty digest."""
        return b""

    def latest_read_report(self):
        """Returns None."""


@given('an instance "b" to which "a" has opened a stream, "a" being of {build}')
def set_build(context, build):
    """Sets the build of the instance that opens the stream."""
    context.accepts_messages = build == "this build"


@when('"b" sends a message to "a"')
def send_back(context):
    """Opens the stream from "a", with the greeting of its build, and sends a message from "b"."""

    async def run():
        sockets = [netutil.bind_sockets(0, HOST)[0] for _ in "ab"]
        numbers = [socket.getsockname()[1] for socket in sockets]
        for socket in sockets:
            socket.close()
        second = PeerStandIn("b", numbers[1])
        second.streams.listen(HOST, numbers[1])
        first = PeerStandIn("a", numbers[0], second.record)
        first.streams.listen(HOST, numbers[0])
        inbox = []
        stream = streams.MessageStream(1_000_000, 1_000_000, inbox.append, lambda error: None)
        await asyncio.get_running_loop().create_connection(lambda: stream, HOST, numbers[1])
        stream.send(messages.Hello("d", first.record, context.accepts_messages))
        await wait_for(lambda: inbox)
        sent = messages.BatchTaken(data.QueryId("q"))
        assert second.streams.send(first.record.instance, sent)
        await wait_for(lambda: sent in inbox or sent in first.received)
        context.own_streams = len(second.streams.connected_instances())
        context.is_on_opened_stream = sent in inbox
        stream.close()
        await first.streams.close()
        await second.streams.close()

    asyncio.run(run())


async def wait_for(is_done):
    """Waits for a condition, for at most 5 s."""
    async with asyncio.timeout(5.0):
        while not is_done():
            await asyncio.sleep(0.01)


@then('"b" has opened {count:d} streams of its own')
def check_own_streams(context, count):
    """Checks the number of streams that "b" has opened."""
    assert context.own_streams == count, context.own_streams


@then('"a" has received the message on {stream}')
def check_stream(context, stream):
    """Checks the stream on which the message arrived."""
    assert context.is_on_opened_stream == (stream == "the stream it opened")


@given("an instance with {count:d} neighbours, one of which it ceases to have")
def make_neighbours(context, count):
    """Opens streams to peers that answer the greeting, then drops one of the neighbours."""

    async def run():
        stand_ins = []
        for number in range(count + 1):
            (socket,) = netutil.bind_sockets(0, HOST)
            port = socket.getsockname()[1]
            socket.close()
            stand_ins.append(PeerStandIn(f"i{number}", port))
            stand_ins[-1].streams.listen(HOST, port)
        local, *others = stand_ins
        members = tuple(other.record for other in others)
        record_by_id = {member.instance: member for member in members}
        local.find_member = record_by_id.get
        local.streams.set_neighbours(members)
        await wait_for(lambda: len(local.streams.connected_instances()) == count)
        local.streams.set_neighbours(members[:-1])
        context.gossiping = local.streams.gossiping_instances()
        for stand_in in stand_ins:
            await stand_in.streams.close()

    asyncio.run(run())


@then("tables and membership records are passed on to {count:d} of them")
def check_gossiping(context, count):
    """Checks the number of instances over which tables spread."""
    assert len(context.gossiping) == count, context.gossiping


def merge_restarted(context, instance, incarnation, accepts_work, version=0):
    """Merges the record of an instance that has started anew, and publishes the view."""
    record = msgspec.structs.replace(
        make_member(instance),
        incarnation=data.Incarnation(incarnation),
        version=version,
        accepts_work=accepts_work,
    )
    context.members.merge((record,))
    context.publisher.refresh()


@when("another instance of its cell starts anew")
def restart_cell_member(context):
    """Merges the record of the starting instance; views without new tables follow 50 ms apart."""
    local = context.members.local_member.instance
    context.restarted = next(each for each in context.first_cell if each != local)

    async def run():
        merge_restarted(context, context.restarted, 2, False)
        await asyncio.sleep(0.1)

    asyncio.run(run())


@when("that instance is ready")
def become_ready(context):
    """Merges the record with which the instance announces that it is ready."""

    async def run():
        merge_restarted(context, context.restarted, 2, True, version=1)
        await asyncio.sleep(0.1)

    asyncio.run(run())


@when("all instances of the cell start anew")
def restart_cell(context):
    """Merges records of starting instances, this one included."""

    async def run():
        local = context.members.local_member
        context.members.local_member = msgspec.structs.replace(local, accepts_work=False)
        for instance in context.first_cell:
            if instance != local.instance:
                merge_restarted(context, instance, 3, False)
        await asyncio.sleep(0.1)

    asyncio.run(run())


@then("the cell of the view has {count:d} instances without it")
def check_cell_without(context, count):
    """Checks the cell of the latest view."""
    cell = context.publisher.view.cell
    assert len(cell) == count and context.restarted not in cell, cell


@then("the cell of the view has {count:d} instances with it")
def check_cell_with(context, count):
    """Checks the cell of the latest view."""
    cell = context.publisher.view.cell
    assert len(cell) == count and context.restarted in cell, cell
