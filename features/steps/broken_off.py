"""Steps with the HTTP client and responses that are broken off."""

import asyncio
import contextlib
import datetime
import socket

import msgspec
from behave import given, then, when

from features.steps import single_sending
from monsoonhoist.node import curl, http_call, socket_state
from standins import broken_off

TIMEOUT = datetime.timedelta(seconds=10)
CALLS_OF_EACH_KIND = 3
# Time after which a body that is sent meanwhile has filled the buffers of the connection.
BUFFERS_FULL_SECONDS = 0.05
READ_BYTES = 65_536


class CallKind(msgspec.Struct, frozen=True):
    """Options of a call that may matter for what the client does when its connection ends."""

    method: str
    own_connection: bool
    is_sent_once: bool


CALL_KINDS = (
    CallKind("GET", own_connection=False, is_sent_once=True),
    CallKind("POST", own_connection=False, is_sent_once=True),
    CallKind("POST", own_connection=True, is_sent_once=True),
    # The readers of the configuration service make such calls.
    CallKind("GET", own_connection=False, is_sent_once=False),
)


@when('it breaks off its responses to requests of each kind with "{fault}"')
def break_off(context, fault):
    """Sends requests of each kind, each after a sound one, whose connection may be kept for it."""
    context.reply_by_id = {}
    for kind in CALL_KINDS:
        for number in range(CALLS_OF_EACH_KIND):
            request_id = f"{kind}-{number}"
            single_sending.run(context, single_sending.send_together(context, 1))
            context.server.behaviour.fault = fault
            context.reply_by_id[request_id] = single_sending.run(
                context,
                single_sending.send(
                    context,
                    request_id,
                    kind.method,
                    is_sent_once=kind.is_sent_once,
                    own_connection=kind.own_connection,
                ),
            )
            context.server.behaviour.fault = ""
            # Until the connection has ended, the client may keep it for the next request.
            single_sending.run(context, asyncio.sleep(2 * broken_off.DELAY_SECONDS))


@then("none of the calls has a response, and each request was received once")
def check_none(context):
    """Checks that each response counts as lost, and that nothing of its body is left."""
    for request_id, reply in context.reply_by_id.items():
        found = (reply.status, reply.body, reply.sent, reply.timed_out, reply.defect)
        assert found == (0, b"", True, False, None), (request_id, reply)
        assert reply.error, reply
        received_count = single_sending.count_received(context, request_id)
        assert received_count == 1, (request_id, received_count)


@then("each of the calls has a response with {percent:d}% of the body")
def check_responses(context, percent):
    """Checks the responses."""
    body = context.server.shard_records("")
    for request_id, reply in context.reply_by_id.items():
        expected = (200, body[: len(body) * percent // 100])
        assert (reply.status, reply.body) == expected, (request_id, reply)


@given("a server that resets the connection {time} its response, before it has read the request")
def define_hasty_server(context, time):
    """Defines the server."""

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            # The buffers of the connection are full by now.
            await asyncio.sleep(BUFFERS_FULL_SECONDS)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\npart of the body")
            if time == "some time after":
                await asyncio.sleep(broken_off.DELAY_SECONDS)
            broken_off.set_reset(writer.get_extra_info("socket"))
        writer.transport.abort()

    context.answer = answer


@then("no call with a body of {count:d} bytes has a response")
def check_hasty(context, count):
    """Sends requests with a long body, on new connections and on such as may be kept."""

    async def run():
        server = await asyncio.start_server(context.answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        driver = curl.CurlDriver(TIMEOUT)
        for own_connection in (False, True):
            call = http_call.HttpCall(
                "POST",
                f"http://127.0.0.1:{port}/",
                bytes(count),
                TIMEOUT,
                TIMEOUT,
                own_connection=own_connection,
                is_sent_once=True,
                headers=("Expect:",),
            )
            future = asyncio.get_running_loop().create_future()
            driver.start(call, future.set_result)
            reply = await future
            assert (reply.status, reply.body, reply.timed_out) == (0, b"", False), reply
        driver.close()
        server.close()

    asyncio.run(run())


@given("a connection whose peer has {ended} it")
def end_connection(context, ended):
    """Opens a connection and lets its peer write to it and end it, or not."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        context.socket = socket.create_connection(listener.getsockname())
        peer, _ = listener.accept()
    context.add_cleanup(context.socket.close)
    context.add_cleanup(peer.close)
    context.socket.setblocking(False)
    if "written to" in ended:
        peer.send(b"data")
    if "reset" in ended:
        broken_off.set_reset(peer)
    if ended != "left":
        peer.close()


@then("it counts as {state}, and reading it {result}")
def check_state(context, state, result):
    """Asks for the state in each way, several times, and then reads the connection."""
    descriptor = context.socket.fileno()
    port = context.socket.getsockname()[1]
    expected = socket_state.SocketState[state.upper()]
    for _ in range(3):
        assert socket_state.find_state(descriptor) is expected
        assert socket_state.find_state(descriptor, port) is expected
        assert socket_state.find_state(descriptor, port + 1) is socket_state.SocketState.UNKNOWN
        is_ended = expected is socket_state.SocketState.ENDED
        assert socket_state.has_ended(descriptor) == is_ended
        is_readable = expected is socket_state.SocketState.READABLE
        assert socket_state.has_unread(descriptor) == is_readable
    assert read_all(context.socket) == result


def read_all(connection):
    """Returns what reading a connection to its end reports."""
    prefix = "reports "
    try:
        while chunk := connection.recv(READ_BYTES):
            assert chunk == b"data", chunk
            prefix = "reports data, then "
    except BlockingIOError:
        return "blocks"
    except ConnectionResetError:
        return prefix + "a reset"
    return prefix + "its end"
