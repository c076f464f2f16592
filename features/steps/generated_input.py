"""Steps that pass generated input to the readers of the program."""

import contextlib
import json

import hypothesis
import msgspec
from behave import then
from hypothesis import strategies
from tornado import httputil

from features import store_values
from monsoonhoist import decoding, errors, settings, settings_file
from monsoonhoist.core import data, exchange
from monsoonhoist.kernels import traces
from monsoonhoist.node import http_call
from monsoonhoist.platform import backend_protocol, callers, store_format
from monsoonhoist.protocol import messages
from monsoonhoist.queries import tickets
from monsoonhoist.tables import native, pools, routes

EXAMPLES_MAX = 150


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
        messages.Heartbeat(1, b"x", messages.ConfigReadReport(data.InstanceId("i"), 1, 2)),
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
        reply = http_call.HttpReply(status, b"", True, False, "", (exchange.Header(name, value),))
        report = protocol.read_report(reply)
        assert report.wait_seconds >= 0.0

    return read


def read_store_value(key):
    """Returns a function that offers a value to a store of the platform's format."""

    def read(text):
        harness = store_values.StoreHarness(store_format.PlatformFormat(0.2))
        harness.offer("op/config", store_values.make_config(1))
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
    "server items": (read_store_value("servers/x"), json_texts(store_values.SERVER_ITEM), ()),
    "configurations": (
        read_store_value("op/config"),
        json_texts(store_values.ROUTE).map(lambda route: f'{{"Version": 2, "Routes": [{route}]}}'),
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
    "settings": (lambda text: settings_file.parse("f", text), ini_texts(SETTINGS_NAMES), ()),
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
