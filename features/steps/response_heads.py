"""Steps that pass generated heads of responses through the client and the protocol to servers."""

import datetime

import hypothesis
import pycurl
from behave import then
from hypothesis import strategies
from tornado import httputil

from monsoonhoist.core import data, exchange
from monsoonhoist.node import curl_transfer, http_call
from monsoonhoist.platform import backend_protocol, callers
from monsoonhoist.protocol import events, fanout

EXAMPLES_MAX = 400
REQUEST_ID = exchange.Header("X-Request-Id", "r-1")
STATUS_OK = 200
SOUND_LINES = (
    b"X-Request-Id: r-1",
    b"X-Server-Stamp: s.r-1.7",
    b"X-Backend-Load: 1,2,3,100",
    b"Server-Leaving: 1",
    b"Retry-After: 0.5",
    b"Content-Length: 3",
    b"Connection: close",
    b"X-Extra: kept",
    b"X-Empty:",
)
SOUND_FIRST_LINE = b"HTTP/1.1 200 OK"
SOUND_LINE_END = b"\r\n"
ODD_FIRST_LINES = (
    b"HTTP/1.1 101 Odd",
    b"HTTP/1.1 600 Odd",
    b"HTTP/1.1 000 Odd",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 200xOK",
    b"HTTP/2.1 200 OK",
)
ODD_LINE_ENDS = (b"\n", b"\r\r\n")
# Lines that make any head with them one to refuse: no fields, and lengths that contradict others.
ODD_LINES = (
    b"HTTP/1.1: x",
    SOUND_FIRST_LINE,
    b"Content-Length: 4x",
    b"Content-Length: 99999999999999999999",
    b"Bad name: x",
    b"Transfer-Encoding: chunked, chunked",
)
ODD_VALUES = (b"nan", b"inf", b"-1", b"1e400", b"9" * 5000, b"1,,2", b"\xe9\xff", b"\x00", b"a, b")


@strategies.composite
def changed_lines(draw):
    """Draws a line of a sound head, unchanged or with another value, byte or indentation."""
    line = draw(strategies.sampled_from(SOUND_LINES))
    kind = draw(strategies.sampled_from(("same", "value", "byte", "fold", "any")))
    if kind == "value":
        name = line.partition(b":")[0]
        return name + b": " + draw(strategies.sampled_from(ODD_VALUES))
    if kind == "byte":
        place = draw(strategies.integers(0, len(line) - 1))
        return line[:place] + bytes([draw(strategies.integers(0, 255))]) + line[place + 1 :]
    if kind == "fold":
        return b" " + line
    if kind == "any":
        return draw(strategies.binary(max_size=30))
    return line


def heads():
    """Returns a strategy for the lines of heads, without line ends within a line."""
    line = changed_lines().map(lambda text: text.replace(b"\n", b"").rstrip(b"\r"))
    return strategies.lists(line.filter(bool), max_size=12)


def sound_heads():
    """Returns a strategy for fields of sound heads, so that nothing else makes one to refuse."""
    return strategies.permutations(SOUND_LINES).flatmap(
        lambda lines: strategies.integers(0, len(lines)).map(lambda count: lines[:count])
    )


def read_head(lines):
    """Returns the transfer that has received a sound first line and lines without their ends."""
    return receive([line + SOUND_LINE_END for line in (SOUND_FIRST_LINE, *lines, b"")])


def receive(ended_lines):
    """Returns the transfer that has received the lines of a head, up to the one it refuses."""
    call = http_call.HttpCall(
        "GET",
        "http://s",
        b"",
        datetime.timedelta(seconds=1),
        datetime.timedelta(seconds=1),
        expected_header=REQUEST_ID,
    )
    transfer = curl_transfer.Transfer(
        None, None, call, lambda *_: None, lambda _: None, curl_transfer.EventCount()
    )
    for line in ended_lines:
        transfer.handle_debug(pycurl.INFOTYPE_HEADER_IN, line)
        if transfer.defect is not None:
            break
    return transfer


def check_heads(check):
    """Passes all generated heads to a check."""

    @hypothesis.settings(max_examples=EXAMPLES_MAX, derandomize=True, database=None, deadline=None)
    @hypothesis.given(heads())
    def run(lines):
        check(lines, read_head(lines))

    run()


def make_command(is_plain):
    """Returns the command of a call for a gathered or a plain request."""
    server = data.Server(
        server_id=data.ServerId("s"),
        service=data.ServiceId("s"),
        address="127.0.0.1:1",
        zone=data.ZoneId("z"),
        slots=1,
        connections=1,
        leaving=False,
    )
    request = exchange.HttpRequest("GET", "/x", (REQUEST_ID,), b"")
    spec = fanout.QuerySpec(
        data.QueryId("q"),
        data.RouteId("r"),
        data.PoolId("p"),
        data.Rank.NORMAL,
        request,
        5,
        100,
        0.0,
        True,
        passes_response=is_plain,
    )
    return events.StartCall(1, server, spec, data.Snapshot(1), 10.0)


def read_reply(transfer, is_plain):
    """Returns the event of a call whose response has the head that was received."""
    is_complete = transfer.reader.is_head_complete and transfer.defect is None
    reply = http_call.HttpReply(
        status=STATUS_OK if is_complete else 0,
        body=b"0123456789abcdef" if is_complete else b"",
        sent=True,
        timed_out=False,
        error="",
        headers=transfer.reader.headers,
        defect=transfer.defect,
    )
    protocol = backend_protocol.ServerProtocol(datetime.timedelta(seconds=1))
    return protocol.read_reply(make_command(is_plain), reply)


def write_answer(answer, attachments):
    """Makes the response to a caller, and writes its header fields as the server does."""
    response = callers.make_response(events.Respond(data.QueryId("q"), answer, attachments))
    headers = httputil.HTTPHeaders()
    for header in response.headers:
        headers.add(header.name, header.value)
        f"{header.name}: {header.value}".encode("latin-1")
    return headers


@then("each generated head is refused, or its response can be written")
def check_writable(context):
    """Checks that what is accepted can be written, in plain and in gathered answers."""

    def check(lines, transfer):
        answer = data.Answer("r-1", data.Outcome.ANSWERED)
        plain = read_reply(transfer, True)
        if isinstance(plain, events.CallReplied):
            write_answer(answer, exchange.AnswerAttachments(response=plain.response))
        part = read_reply(transfer, False)
        if isinstance(part, events.CallReplied):
            attachments = exchange.AnswerAttachments(part.results, (part.proof, "t.r-1.1"), 0)
            headers = write_answer(answer, attachments)
            assert headers["X-Part-Stamps"].split(", ") == [part.proof, "t.r-1.1"], lines

    check_heads(check)


@then("each generated head is read without an error, for gathered and for plain requests")
def check_readable(context):
    """Checks the reports of servers, which must have finite figures."""

    def check(lines, transfer):
        for is_plain in (True, False):
            report = read_reply(transfer, is_plain).report
            assert report.wait_seconds >= 0, lines
            assert report.load is None or report.load.running >= 0, lines

    check_heads(check)


@then("each field that is accepted of a generated head is one of its lines")
def check_fields(context):
    """Checks that no bytes of a field are lost or added."""

    def check(lines, transfer):
        fields = {
            (line.partition(b":")[0], line.partition(b":")[2].strip(b" \t")) for line in lines
        }
        for header in transfer.reader.headers:
            received = (header.name.encode("latin-1"), header.value.encode("latin-1"))
            assert received in fields, (received, lines)

    check_heads(check)


@then("each generated head with an odd first line, line end or framing is refused")
def check_odd_refused(context):
    """Checks that no odd part is made up for by the lines beside it."""
    odd_parts = [(line, None, SOUND_LINE_END) for line in ODD_FIRST_LINES]
    odd_parts += [(SOUND_FIRST_LINE, line, SOUND_LINE_END) for line in ODD_LINES]
    odd_parts += [(SOUND_FIRST_LINE, None, end) for end in ODD_LINE_ENDS]

    @hypothesis.settings(max_examples=EXAMPLES_MAX, derandomize=True, database=None, deadline=None)
    @hypothesis.given(sound_heads(), strategies.sampled_from(odd_parts), strategies.integers(0, 9))
    def run(lines, parts, place):
        first_line, odd_line, line_end = parts
        inserted = [] if odd_line is None else [odd_line]
        all_lines = [first_line, *lines[:place], *inserted, *lines[place:], b""]
        ended_lines = [line + SOUND_LINE_END for line in all_lines]
        odd_place = place % len(all_lines)
        ended_lines[odd_place] = all_lines[odd_place] + line_end
        assert receive(ended_lines).defect is not None, ended_lines

    run()
