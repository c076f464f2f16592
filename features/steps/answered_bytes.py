"""Steps in which the HTTP client reads given bytes from a connection."""

import asyncio
import contextlib
import datetime
import itertools

from behave import given, then, when

from features import rfc9112
from monsoonhoist.core import exchange
from monsoonhoist.node import curl, http_call
from standins import spoiled_responses

TIMEOUT = datetime.timedelta(seconds=5)
# Pause between the parts of a response, in which the client reads the earlier ones.
PAUSE_SECONDS = 0.01
REQUEST_ID = exchange.Header("X-Request-Id", "r-1")
CONTENT = bytes(range(64))
HEAD_LINES = (b"HTTP/1.1 200 OK", b"X-Request-Id: r-1", b"X-Server-Stamp: s.r-1.7")
SOUND_RESPONSE = b"\r\n".join(
    (*HEAD_LINES, spoiled_responses.FIELD, b"Content-Length: 64", b"", CONTENT)
)
CHUNKED_RESPONSE = b"\r\n".join(
    (
        *HEAD_LINES,
        b"Transfer-Encoding: chunked",
        b"X-Backend-Load: 1,2,3,100",
        b"",
        b"20;a=b",
        CONTENT[:32],
        b"20",
        CONTENT[32:],
        b"0",
        b"",
        b"",
    )
)
RESPONSE_BY_NAME = {"a length": SOUND_RESPONSE, "chunks": CHUNKED_RESPONSE}
# Bytes with a meaning in a head, and some without.
INSERTED_BYTES = b"\x00\t\n\r ,09:;aA\x7f\xe9"


class ByteServer:
    """A server that answers the n-th request with the n-th response.

    Args:
        responses: The bytes of each response, in parts that are sent one after the other.
        closes: Whether each connection is closed after a response.
    """

    def __init__(self, responses, closes=True):
        self._responses = iter(responses)
        self._closes = closes
        self._server = None
        self.url = ""
        self.connection_count = 0

    async def __aenter__(self):
        """Starts listening on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}/"
        return self

    async def __aexit__(self, *error):
        """Stops listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        self.connection_count += 1
        # The handler is cancelled at the end of the step, which asyncio would log as an error.
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                first, *others = next(self._responses)
                writer.write(first)
                for part in others:
                    await asyncio.sleep(PAUSE_SECONDS)
                    writer.write(part)
                await writer.drain()
                if self._closes:
                    break
        writer.close()


async def fetch(driver, url, method="GET", own_connection=False):
    """Sends a request and returns the reply."""
    call = http_call.HttpCall(
        method,
        url,
        b"",
        TIMEOUT,
        TIMEOUT,
        own_connection=own_connection,
        expected_header=REQUEST_ID,
        is_sent_once=True,
    )
    future = asyncio.get_running_loop().create_future()
    driver.start(call, future.set_result)
    async with asyncio.timeout(2 * TIMEOUT.total_seconds()):
        return await future


def read_responses(responses, closes=True, count=None, **options):
    """Returns the replies to requests that are sent one after the other, and the server."""

    async def run():
        driver = curl.CurlDriver(TIMEOUT)
        async with ByteServer(responses, closes) as server:
            replies = [
                await fetch(driver, server.url, **options) for _ in range(count or len(responses))
            ]
            driver.close()
        return replies, server

    return asyncio.run(run())


def changed_heads(response, values):
    """Yields a response with each byte of its head removed, doubled, replaced, and one inserted.

    Args:
        response: The sound response.
        values: The bytes that are put in, each at each place.
    """
    head_end = response.index(b"\r\n\r\n") + 4
    for place in range(head_end):
        before, byte, after = response[:place], response[place : place + 1], response[place + 1 :]
        yield before + after
        yield before + byte + byte + after
        for value in values:
            yield before + bytes([value]) + after
            yield before + bytes([value]) + byte + after


def check_reply(stream, reply):
    """Compares a reply with what RFC 9112 says of the bytes."""
    message = rfc9112.read(stream)
    if reply.status:
        assert message is not None, ("accepted", stream, reply)
        assert (reply.status, reply.body) == (message.status, message.body), (stream, reply)
    elif message is not None:
        assert is_refusal_allowed(message), ("refused", stream, reply)


def is_refusal_allowed(message):
    """Returns whether a valid response may be refused.

    It may belong to another request, or have a minor version that libcurl does not know.
    """
    is_foreign = message.values_by_name.get(b"x-request-id", [b"r-1"]) != [b"r-1"]
    return is_foreign or message.minor_version > 1


@then("the client accepts a head with {name} and one changed byte only where RFC 9112 does")
def check_changed_heads(context, name):
    """Checks a head with one change at each of its places, by ``-D bytes=all`` with all bytes."""
    is_long_run = context.config.userdata.get("bytes") == "all"
    inserted = bytes(range(256)) if is_long_run else INSERTED_BYTES
    streams = list(changed_heads(RESPONSE_BY_NAME[name], inserted))
    replies, _ = read_responses([(stream,) for stream in streams])
    for stream, reply in zip(streams, replies, strict=True):
        check_reply(stream, reply)
    accepted = sum(reply.status > 0 for reply in replies)
    print(f"{len(streams)} heads, {accepted} accepted")


@then("the client refuses the fault {fault}, on connections that are closed and kept")
def check_fault(context, fault):
    """Checks a fault of the stand-in, for requests on new and on kept connections."""
    response = spoiled_responses.spoil(SOUND_RESPONSE, fault)
    for own_connection in (True, False):
        (reply,), _ = read_responses([(response,)], own_connection=own_connection)
        check_refused(reply)
    # A sound response before and after it shows that its connection is not used again.
    responses = [(SOUND_RESPONSE,), (response,), (SOUND_RESPONSE,)]
    (first, second, third), server = read_responses(responses, closes=False)
    check_refused(second)
    for reply in (first, third):
        assert (reply.status, reply.body) == (200, CONTENT), reply
    assert server.connection_count == 2, server.connection_count


def check_refused(reply):
    """Checks that a reply is none, and that nothing of it is left."""
    assert (reply.status, reply.body, reply.headers) == (0, b"", ()), reply
    assert reply.defect is not None, reply


@given("a response in the parts {parts}")
def make_parts(context, parts):
    """Cuts a response into parts, between which the server pauses."""
    short = SOUND_RESPONSE.replace(b"Content-Length: 64", b"Content-Length: 4")
    head_end = short.index(b"\r\n\r\n") + 4
    chunk_end = CHUNKED_RESPONSE.rindex(b"0\r\n\r\n")
    large = b"\r\n".join((*HEAD_LINES, b"Content-Length: 30000", b"", b"x" * 60_000))
    context.response = {
        "head and 2 bytes, 62 bytes, of which 2 count": (
            short[: head_end + 2],
            short[head_end + 2 :],
        ),
        "60000 bytes, of which 30000 count": (large,),
        "chunks, the last one and more": (
            CHUNKED_RESPONSE[:chunk_end],
            CHUNKED_RESPONSE[chunk_end:] + b"extra",
        ),
        "chunks, one byte at a time": tuple(
            CHUNKED_RESPONSE[place : place + 1] for place in range(len(CHUNKED_RESPONSE))
        ),
        "a head without its end": (SOUND_RESPONSE[:head_end][:-2],),
        "an interim head, a response": (b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n", SOUND_RESPONSE),
    }[parts]


@then("the client refuses it, whether its connection is kept or not")
def check_parts_refused(context):
    """Checks that the response is refused, and that the next one comes on another connection."""
    for own_connection in (True, False):
        (reply, next_reply), server = read_responses(
            [context.response, (SOUND_RESPONSE,)], closes=False, own_connection=own_connection
        )
        check_refused(reply)
        assert (next_reply.status, next_reply.body) == (200, CONTENT), next_reply
        assert server.connection_count == 2, server.connection_count


@then("the client has no response when the connection is closed")
def check_no_response(context):
    """Checks that the connection counts as lost, and that nothing of the response is left."""
    (reply,), _ = read_responses([context.response])
    assert (reply.status, reply.body, reply.headers) == (0, b"", ()), reply


@then("the client accepts it")
def check_parts_accepted(context):
    """Checks that the response is accepted."""
    (reply,), _ = read_responses([context.response])
    assert (reply.status, reply.body) == (200, CONTENT), reply


@when("bytes of another answer arrive on a kept connection, and a request follows")
def send_after_late_bytes(context):
    """Sends two requests, between which the server sends an answer that nobody asked for.

    The answer has no request id, so that only its place tells that it belongs to no request.
    """
    late = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"

    async def run():
        driver = curl.CurlDriver(TIMEOUT)
        responses = itertools.chain([(SOUND_RESPONSE, late)], itertools.repeat((SOUND_RESPONSE,)))
        async with ByteServer(responses, closes=False) as server:
            await fetch(driver, server.url)
            await asyncio.sleep(2 * PAUSE_SECONDS)
            context.reply = await fetch(driver, server.url)
            driver.close()

    asyncio.run(run())


@then("the request is answered with its own answer")
def check_own_answer(context):
    """Checks the answer to the second request."""
    assert (context.reply.status, context.reply.body) == (200, CONTENT), context.reply
