"""Steps with instances that send odd messages, or read nothing."""

import asyncio
import struct

from behave import given, then, when

from monsoonhoist import metrics, settings
from monsoonhoist.core import clock, data
from monsoonhoist.node import peers, stream_protocol
from monsoonhoist.protocol import messages


class PeerRecorder(stream_protocol.PeerListener):
    """Listener of a stream that knows one other instance.

    Args:
        port: Port of the other instance.
    """

    def __init__(self, port):
        self.member = data.Member("peer", 1, 0, data.MemberState.LIVE, "127.0.0.1", port, "z")

    def find_member(self, instance):
        """Returns the record of the other instance."""
        return self.member

    def local_member(self):
        """Returns a record of this instance."""
        return data.Member("self", 1, 0, data.MemberState.LIVE, "127.0.0.1", 1, "z")

    def tables_digest(self):
        """Returns an empty digest."""
        return b""

    def latest_read_report(self):
        """Returns None."""


def run_stream(context, buffer_bytes, use_streams):
    """Runs a peer and a stream to it, and calls ``use_streams`` with the streams."""

    async def serve(reader, writer):
        context.connections += 1
        context.writers.append(writer)
        port = writer.get_extra_info("sockname")[1]
        hello = messages.Hello("d", PeerRecorder(port).member)
        for body in (messages.encode(hello), *context.peer_bodies):
            writer.write(struct.pack(">I", len(body)) + body)

    async def run():
        context.connections, context.writers = 0, []
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1)
        port = server.sockets[0].getsockname()[1]
        timing = settings.TimingSection()
        options = stream_protocol.PeerOptions(
            "d", 1_000_000, buffer_bytes, timing.heartbeat_ms, timing.silence_ms
        )
        listener = PeerRecorder(port)
        streams = peers.PeerStreams(
            options, clock.SystemClock(), metrics.Metrics(data.InstanceId("self")), listener
        )
        streams.set_neighbours((listener.member,))
        await use_streams(streams)
        await streams.close()
        for writer in context.writers:
            writer.transport.abort()
        server.close()

    asyncio.run(run())


@given("a peer that answers each greeting with an odd message")
def make_odd_peer(context):
    """Makes a peer that sends a map whose key cannot be hashed."""
    context.peer_bodies = (b"\x81\x90\x01",)


@given("a peer that accepts streams and reads nothing after the greeting")
def make_silent_peer(context):
    """Makes a peer that only greets."""
    context.peer_bodies = ()


@when("a stream to the peer is kept for {ms:d} ms")
def keep_stream(context, ms):
    """Keeps the stream for some time."""
    run_stream(context, 1_000_000, lambda streams: asyncio.sleep(ms / 1000))


@then("the peer has been connected to at least {count:d} times")
def check_connections(context, count):
    """Checks the number of connections."""
    assert context.connections >= count, context.connections


@when("messages of {total:d} bytes in all are sent to it with a limit of {limit:d} bytes")
def send_much(context, total, limit):
    """Sends messages without waiting, and records whether all were taken."""
    message = messages.WantTables(tuple(data.TableKey("k" * 100) for _ in range(1000)))

    async def send(streams):
        async with asyncio.timeout(5.0):
            while not streams.connected_instances():
                await asyncio.sleep(0.01)
        count = total // len(messages.encode(message))
        instance = data.InstanceId("peer")
        context.results = [streams.send(instance, message) for _ in range(count)]

    run_stream(context, limit, send)


@then("sending has been refused")
def check_refused(context):
    """Checks that the first messages were taken and the last one was not."""
    assert context.results[0] and not context.results[-1], context.results
