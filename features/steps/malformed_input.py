"""Steps that pass malformed input to the readers of the program."""

import asyncio
import contextlib
import itertools
import json
import struct
import types

import hypothesis
import msgspec
from behave import given, then, when
from hypothesis import strategies
from tornado import httputil, testing

from monsoonhoist import decoding, errors, metrics, settings
from monsoonhoist.core import clock, data, diagnostics, exchange
from monsoonhoist.kernels import traces
from monsoonhoist.node import curl, peers, phases, replication, stream_protocol, web
from monsoonhoist.platform import backend_protocol, callers, store_format
from monsoonhoist.protocol import messages
from monsoonhoist.queries import tickets
from monsoonhoist.tables import native, pools, routes, store

EXAMPLES_MAX = 150
SERVER_ITEM = {
    "Service": "s",
    "Addr": "10.0.0.1:80",
    "Zone": "z",
    "Slots": 2,
    "State": "ready",
    "Seq": 1,
    "born": 5,
}
ROUTE = {
    "Name": "r",
    "Host": "h",
    "Prefix": "/r/",
    "Type": "idempotent",
    "TimeoutMs": 1000,
    "Service": "s",
}


def make_config(version, **fields):
    """Returns a configuration with one route."""
    return json.dumps({"Version": version, "Routes": [ROUTE | fields], "Services": []})


class StoreHarness:
    """A table store that keeps the findings of the values that it was offered.

    Attributes:
        store: The store.
        findings: Findings of all values, as text.
    """

    def __init__(self, table_format):
        self.store = store.TableStore(table_format)
        self.findings = []
        self._numbers = itertools.count(1)

    def offer(self, key, text):
        """Offers a value with the next number."""
        value = messages.TableValue(data.TableKey(key), next(self._numbers), text)
        result = self.store.offer(value)
        self.findings += [finding.describe() for finding in result.findings]
        self.store.apply_accepted()


@given('a store with the configuration and the item of the server "{name}"')
def make_store(context, name):
    """Makes a store with one route and one server."""
    context.harness = StoreHarness(store_format.PlatformFormat(0.2))
    context.harness.offer("op/config", make_config(1))
    context.harness.offer(f"servers/{name}", json.dumps(SERVER_ITEM))


@when('the item of the server "{name}" has the value nested {depth:d} deep')
def offer_nested(context, name, depth):
    """Offers an item that is a list of lists."""
    context.harness.offer(f"servers/{name}", "[" * depth + "]" * depth)


@when('the item of the server "{name}" has the value with Slots of {count:d} digits')
def offer_long_number(context, name, count):
    """Offers an item with a long number."""
    text = json.dumps(SERVER_ITEM).replace('"Slots": 2', '"Slots": ' + "1" * count)
    context.harness.offer(f"servers/{name}", text)


@when('the item of the server "{name}" has the value with {field} {value}')
def offer_field(context, name, field, value):
    """Offers an item in which one field is changed; numbers are written as such."""
    changed = int(value) if value.lstrip("-").isdecimal() else value
    context.harness.offer(f"servers/{name}", json.dumps(SERVER_ITEM | {field: changed}))


@when('the item of the server "{name}" is valid')
@when('the item of the server "{name}" has the value of a valid server')
def offer_valid(context, name):
    """Offers a valid item."""
    context.harness.offer(f"servers/{name}", json.dumps(SERVER_ITEM))


@when("a configuration follows whose route has {field} {value}")
def offer_config_field(context, field, value):
    """Offers a configuration in which one field of the route is changed."""
    context.harness.offer("op/config", make_config(2, **{field: json.loads(value)}))


@when("a valid configuration follows")
def offer_valid_config(context):
    """Offers a valid configuration."""
    context.harness.offer("op/config", make_config(3))


@then('the store has a finding about "{key}"')
def check_store_finding(context, key):
    """Checks that a finding names the key."""
    assert any(text.startswith(key) for text in context.harness.findings), context.harness.findings


@then('the servers in force are "{names}"')
def check_servers(context, names):
    """Compares the servers of the route's pool."""
    (pool,) = context.harness.store.tables.pool_by_id.values()
    found = [server.server_id for server in pool.servers_by_service["s"]]
    assert found == names.split(", "), found


@then("the configuration in force is the {which} one")
def check_config(context, which):
    """Compares the version of the pool in force."""
    (pool,) = context.harness.store.tables.pool_by_id.values()
    assert pool.snapshot == {"first": 1, "last": 3}[which], pool.snapshot


class FailingFormat(store.TableFormat):
    """A format whose parser fails at one key.

    Args:
        failing_key: The key.
    """

    def __init__(self, failing_key):
        self._failing_key = failing_key

    def parse(self, key, file, text):
        """Returns the text, or fails."""
        if key == self._failing_key:
            raise ZeroDivisionError("for the test")
        return store.ParsedValue((), text)

    def update_tables(self, content_by_key, changed_keys, tables):
        """Returns the tables unchanged."""
        return tables


@given('a table format that fails at the key "{key}"')
def make_failing_store(context, key):
    """Makes a store whose format fails at one key."""
    context.harness = StoreHarness(FailingFormat(key))


@when('the values "{keys}" are offered')
def offer_values(context, keys):
    """Offers a value for each key."""
    for key in keys.split(", "):
        context.harness.offer(key, "text")


@then('the values "{keys}" are in force')
def check_values(context, keys):
    """Compares the keys in force."""
    assert sorted(context.harness.store.revision_by_key) == keys.split(", ")


class FailingReader(replication.TableReader):
    """A reader that fails with an unexpected error at its first call.

    Attributes:
        calls: Number of calls.
    """

    def __init__(self):
        self.calls = 0

    async def read(self, table_store):
        """Fails, returns a value, and then waits for ever."""
        self.calls += 1
        if self.calls == 1:
            raise ZeroDivisionError("for the test")
        if self.calls > 2:
            await asyncio.Event().wait()
        return replication.Reading((messages.TableValue(data.TableKey("a"), 1, "text"),))

    def reset(self):
        """Does nothing."""


@given("a reader of the configuration service that fails unexpectedly once")
def make_failing_reader(context):
    """Makes the reader and the replicator."""
    context.reader = FailingReader()
    context.replicator = replication.TableReplicator(
        FailingFormat(""),
        clock.SystemClock(),
        metrics.Metrics(data.InstanceId("i")),
        lambda instance, message: True,
        lambda: (),
        lambda: None,
    )


@when("a watcher runs until it has read {count:d} times")
def run_watcher(context, count):
    """Runs a watcher of the configuration service for at most 5 s."""

    async def run():
        watcher = replication.ConfigServiceWatcher(
            settings.TimingSection().service_retry_ms / 50,
            context.reader,
            context.replicator,
            lambda: True,
            lambda: None,
        )
        watcher.start()
        async with asyncio.timeout(5.0):
            while context.reader.calls <= count:
                await asyncio.sleep(0.01)
        watcher.stop()

    asyncio.run(run())


@then("it has put the second value in force")
def check_second_value(context):
    """Checks that the replicator has the value."""
    assert context.replicator.store.value(data.TableKey("a")).text == "text"


def json_texts(example):
    """Returns a strategy for JSON texts: arbitrary ones, and an example with one change."""
    scalars = (
        strategies.none()
        | strategies.booleans()
        | strategies.integers(-(10**30), 10**30)
        | strategies.floats(allow_nan=False)
        | strategies.text(max_size=12)
    )
    values = strategies.recursive(
        scalars,
        lambda inner: (
            strategies.lists(inner, max_size=4)
            | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4)
        ),
        max_leaves=12,
    )
    changed = strategies.tuples(strategies.sampled_from(sorted(example)), values).map(
        lambda change: json.dumps(example | {change[0]: change[1]})
    )
    nested = strategies.integers(1, 200_000).map(lambda depth: "[" * depth)
    return changed | values.map(json.dumps) | nested | strategies.text(max_size=40)


def ini_texts(names):
    """Returns a strategy for INI texts with the given sections and options."""
    name = strategies.sampled_from(names) | strategies.text(max_size=8)
    number = strategies.integers(-(10**30), 10**30).map(str)
    value = number | strategies.text(max_size=12) | strategies.sampled_from(("nan", "inf", "yes"))
    option = strategies.tuples(name, value).map(" = ".join)
    section = name.map(lambda text: f"[{text}]")
    return strategies.lists(section | option, max_size=12).map("\n".join)


SETTINGS_NAMES = ("instance", "timing", "listen", "name", "heartbeat_ms", "host", "window_seconds")
ROUTES_NAMES = ("route x", "rank", "pool", "deadline_ms", "hedge_budget", "partial_after_ms")
POOLS_NAMES = ("pool", "server a", "key_space", "service", "address", "slots", "connections")
MESSAGE_EXAMPLES = tuple(
    messages.encode(message)
    for message in (
        messages.Heartbeat(1, b"x", messages.ConfigReadReport(data.InstanceId("i"), 1)),
        messages.Members((data.Member("i", 1, 0, data.MemberState.LIVE, "h", 1, "z"),)),
        messages.PackedTables(
            (messages.pack_table(messages.TableValue(data.TableKey("k"), 1, "t")),)
        ),
    )
)


@strategies.composite
def changed_messages(draw):
    """Draws an encoded message in which a few bytes are changed, or arbitrary bytes."""
    body = bytearray(draw(strategies.sampled_from(MESSAGE_EXAMPLES)))
    for _ in range(draw(strategies.integers(1, 4))):
        body[draw(strategies.integers(0, len(body) - 1))] = draw(strategies.integers(0, 255))
    return draw(strategies.just(bytes(body)) | strategies.binary(max_size=40))


def read_message(body):
    """Decodes a message, and unpacks it if it contains table values."""
    message = messages.decode(body)
    if isinstance(message, messages.PackedTables):
        for packed in message.tables:
            messages.unpack_table(packed, 1000)


def read_report(name, status):
    """Returns a function that reads what a server says in a header with the given name."""
    protocol = backend_protocol.ServerProtocol(settings.TimingSection().backend_connect_ms)

    def read(value):
        reply = curl.HttpReply(status, b"", True, False, "", (exchange.Header(name, value),))
        report = protocol.read_report(reply)
        assert report.wait_seconds >= 0.0

    return read


def read_store_value(key):
    """Returns a function that offers a value to a store of the platform's format."""

    def read(text):
        harness = StoreHarness(store_format.PlatformFormat(0.2))
        harness.offer("op/config", make_config(1))
        harness.offer(key, text)
        msgspec.json.encode(harness.store.tables.pool_by_id)

    return read


def read_deadline(value):
    """Reads the deadline of a caller."""
    headers = httputil.HTTPHeaders()
    headers["X-Deadline-Ms"] = value
    assert callers.parse_deadline_ms(headers) >= 0


HEADER_TEXTS = strategies.text(max_size=30) | strategies.sampled_from(
    ("1e400", "-1", "nan", "inf", "", "9" * 5000, "1,2", "1,2,3,4,5", "1,,3", "٣,٣,٣")
)
TRACE_HEADER = b'{"instance":"a","zone":"z","policies":{}}'
# For each kind of input: its reader, the inputs, and the errors that the reader declares.
READER_BY_KIND = {
    "server items": (read_store_value("servers/x"), json_texts(SERVER_ITEM), ()),
    "configurations": (
        read_store_value("op/config"),
        json_texts(ROUTE).map(lambda route: f'{{"Version": 2, "Routes": [{route}]}}'),
        (),
    ),
    "table values": (
        lambda text: native.parse(data.TableKey("routes"), "f", text),
        ini_texts(ROUTES_NAMES),
        (),
    ),
    "routes": (lambda text: routes.parse("f", text), ini_texts(ROUTES_NAMES), ()),
    "pools": (
        lambda text: pools.parse(data.TableKey("pool/x"), "f", text),
        ini_texts(POOLS_NAMES),
        (),
    ),
    "settings": (lambda text: settings.parse("f", text), ini_texts(SETTINGS_NAMES), ()),
    "messages": (read_message, changed_messages(), (errors.ProtocolError,)),
    "tickets": (
        tickets.decode,
        strategies.text(max_size=40)
        | strategies.integers(0, 10**40).map(lambda number: f"r~n~1~{number}")
        | strategies.just("r~n~1~" + "1" * 5000),
        (),
    ),
    "traces": (
        lambda line: traces.replay("t", [TRACE_HEADER, line.encode("utf-8", "replace")]),
        json_texts({"at": 1.0, "role": "entry", "event": {"type": "time-reached"}, "commands": []}),
        (),
    ),
    "caller requests": (
        lambda text: decoding.decode_json(text.encode("utf-8", "replace"), data.Request),
        json_texts({"query": "q", "limit": 1, "deadline_ms": 1}),
        (errors.MalformedInputError,),
    ),
    "load headers": (read_report("X-Backend-Load", 200), HEADER_TEXTS, ()),
    "wait headers": (read_report("Retry-After", 503), HEADER_TEXTS, ()),
    "deadline headers": (
        read_deadline,
        HEADER_TEXTS.filter(lambda text: text.isprintable() and text.isascii()),
        (),
    ),
}


@then('no input makes the reader of "{kind}" fail')
def check_reader(context, kind):
    """Passes many inputs to a reader, always the same ones; it must raise declared errors only."""
    read, inputs, declared_errors = READER_BY_KIND[kind]

    @hypothesis.settings(max_examples=EXAMPLES_MAX, derandomize=True, database=None, deadline=None)
    @hypothesis.given(inputs)
    def run(value):
        with contextlib.suppress(*declared_errors):
            read(value)

    run()


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


class FailingQueries:
    """Queries that fail with an unexpected error."""

    def find_route(self, route_id):
        """Returns a repeatable route."""
        return data.Route(
            route_id,
            data.Rank.URGENT,
            data.PoolId("p"),
            True,
            settings.TimingSection().pause_ms,
            1.0,
            0.0,
        )

    def start(self, route_id, request):
        """Fails."""
        raise ZeroDivisionError("for the test")


@given("a node whose queries fail with an unexpected error")
def make_failing_node(context):
    """Makes the part of a node that the HTTP server uses."""
    context.node = types.SimpleNamespace(
        config=types.SimpleNamespace(
            limits=settings.LimitsSection(), timing=settings.TimingSection()
        ),
        phase=phases.Phase.READY,
        pending_queries=FailingQueries(),
        active=0,
    )


@when("a caller sends a request to it")
def send_to_failing_node(context):
    """Serves the node on a free port and sends a request."""

    async def run():
        socket, port = testing.bind_unused_port()
        server = web.make_server(context.node)
        server.add_sockets([socket])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        body = b'{"query": "q"}'
        head = f"POST /v1/query/r HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        response_head = await reader.readuntil(b"\r\n\r\n")
        length = int(response_head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        context.answer = json.loads(await reader.readexactly(length))
        writer.close()
        server.stop()

    asyncio.run(run())


@then('the outcome is "{outcome}" because of "{reason}"')
def check_outcome(context, outcome, reason):
    """Checks the outcome and the reason of the answer."""
    assert (context.answer["outcome"], context.answer["reason"]) == (outcome, reason)


@given("a ticket store")
def make_ticket_store(context):
    """Makes a ticket store on a manual clock."""
    context.clock = clock.ManualClock()
    context.tickets = tickets.TicketStore(data.InstanceId("n"), data.Incarnation(1), context.clock)


@when('a ticket runs the request "" and then presents the request "{text}"')
def reuse_ticket(context, text):
    """Runs an empty request with a ticket and redeems the ticket for another request."""
    ticket = context.tickets.issue(data.RouteId("r"))
    context.tickets.redeem(ticket, data.Request(""))
    context.tickets.finish(ticket, data.Answer("", data.Outcome.ANSWERED))
    context.decision = context.tickets.redeem(ticket, data.Request(text))


@then("the decision says that the ticket was used for another request")
def check_decision(context):
    """Checks the answer of the decision."""
    answer = context.decision.answer
    assert answer.reason is data.Refusal.TICKET_MALFORMED, answer
    assert answer.outcome is data.Outcome.NOT_RUN, answer


@when("a ticket starts a request, {count:d} more tickets are issued, and {seconds:d} s pass")
def expire_tickets(context, count, seconds):
    """Issues tickets, the first of which is running, and lets the others expire."""
    route = data.RouteId("r")
    context.tickets.redeem(context.tickets.issue(route), data.Request("q"))
    for _ in range(count):
        context.tickets.issue(route)
    context.clock.advance(seconds)


@then("the next ticket leaves {count:d} tickets in the store")
def check_ticket_count(context, count):
    """Issues a ticket and counts those that are remembered."""
    context.tickets.issue(data.RouteId("r"))
    assert context.tickets.remembered == count, context.tickets.remembered


@then('a trace of "{text}" has a finding in line {line:d}')
def check_trace_finding(context, text, line):
    """Replays a header and a malformed line and checks the place of the finding."""
    (finding,) = traces.replay("t", [TRACE_HEADER, text.encode()]).findings
    assert finding.place == diagnostics.Place("t", line=line), finding
