"""Steps with the HTTP client and a server that ends connections instead of answering."""

import asyncio
import datetime
import json
import socket

from behave import given, then, when

from monsoonhoist.node import curl, http_call, single_sending, socket_state
from standins import shards

TIMEOUT = datetime.timedelta(seconds=10)
WORK_SECONDS = 0.02


def run(context, coroutine):
    """Runs a coroutine on the scenario's event loop and returns its result."""
    return context.loop.run_until_complete(coroutine)


async def send(
    context, request_id, method="GET", target="/x", is_sent_once=True, own_connection=False
):
    """Sends a request and returns the reply."""
    future = asyncio.get_running_loop().create_future()
    call = http_call.HttpCall(
        method=method,
        url=f"http://{context.server.address}",
        body=b"body" if method == "POST" else b"",
        timeout=TIMEOUT,
        connect_timeout=TIMEOUT,
        own_connection=own_connection,
        headers=(f"X-Request-Id: {request_id}",),
        is_sent_once=is_sent_once,
        target=target,
    )
    context.driver.start(call, future.set_result)
    return await future


async def send_together(context, count):
    """Sends requests at the same time, each of which thus has a connection of its own."""
    replies = await asyncio.gather(*(send(context, f"together-{n}") for n in range(count)))
    assert [reply.status for reply in replies] == [200] * count, replies


async def start(context):
    """Starts the server and the client."""
    context.server = shards.ShardServer("records-a", "127.0.0.1", 0, 10)
    context.server.behaviour.work_seconds = WORK_SECONDS
    await context.server.start()
    context.driver = curl.CurlDriver(TIMEOUT)


async def stop(context):
    """Stops the client and the server."""
    context.driver.close()
    context.server.stop()
    await context.server.close_connections()


@given("a server with {count:d} connections that the client keeps")
@given("a server with {count:d} connection that the client keeps")
def start_with_connections(context, count):
    """Starts both and opens the connections."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    run(context, start(context))
    context.add_cleanup(lambda: run(context, stop(context)))
    run(context, send_together(context, count))
    assert context.server.connection_count == count, context.server.connection_count


@given("the client does not check connections itself")
def disable_check(context):
    """Disables the check of a connection before libcurl reads from it."""
    original = socket_state.has_ended
    socket_state.has_ended = lambda descriptor: False
    context.add_cleanup(setattr, socket_state, "has_ended", original)


def lose_response(context, fault, method, is_sent_once):
    """Sends a request whose response is lost."""
    context.server.behaviour.fault = fault
    context.reply = run(context, send(context, "lost", method, is_sent_once=is_sent_once))
    context.server.behaviour.fault = ""


@when('it ends the connection with "{fault}" instead of answering a "{method}" request')
def lose_single(context, fault, method):
    """Sends a request that must be sent once."""
    lose_response(context, fault, method, True)


@when(
    'it ends the connection with "{fault}" instead of answering a "{method}" request'
    " that may be resent"
)
def lose_resendable(context, fault, method):
    """Sends a request that libcurl may send again."""
    lose_response(context, fault, method, False)


@when("it closes all of them")
def close_idle(context):
    """Closes the idle connections, and lets the client's system receive that."""
    run(context, context.server.close_connections())
    run(context, asyncio.sleep(WORK_SECONDS))


@when("a request with the target {target} is sent")
def send_target(context, target):
    """Sends a request with a target that is written as a JSON string."""
    context.error = None
    try:
        run(context, send(context, "odd", target=json.loads(target)))
    except ValueError as error:
        context.error = error


@then("the client refuses it and can still send others")
def check_refused(context):
    """Checks that the request was not sent, and that the next ones are."""
    assert context.error is not None
    assert count_received(context, "odd") == 0
    run(context, send_together(context, 2))


def count_received(context, request_id):
    """Returns how often the server received a request."""
    requests = context.server.received_requests
    return sum(request.request_id == request_id for request in requests)


@then("it has received this request once")
def check_received_once(context):
    """Checks how often the server received the request."""
    assert count_received(context, "lost") == 1, count_received(context, "lost")


@then("it has received this request more than once")
def check_received_again(context):
    """Checks that libcurl sent the request again."""
    assert count_received(context, "lost") > 1


@then("the call ends without a response after the request was sent")
def check_lost(context):
    """Checks that the reply is that of a lost response."""
    reply = context.reply
    assert (reply.status, reply.sent, reply.timed_out, reply.defect) == (0, True, False, None), (
        reply
    )
    assert reply.error


@then("{count:d} requests at the same time open {new:d} new connection")
@then("{count:d} requests at the same time open {new:d} new connections")
def check_new_connections(context, count, new):
    """Checks how many connections requests at the same time have to open."""
    count_before = context.server.connection_count
    run(context, send_together(context, count))
    assert context.server.connection_count - count_before == new


@given("a connection that was recorded and whose descriptor is closed")
def close_recorded(context):
    """Records a socket and closes it."""
    context.connections = single_sending.KeptConnections()
    with socket.socket() as closed:
        context.connections.record("127.0.0.1", 1, closed.fileno())


@then("it does not count as ended")
def check_not_ended(context):
    """Checks the connection, which must raise no error."""
    descriptor = context.connections.find("127.0.0.1", 1)
    state = socket_state.find_state(descriptor, 1)
    assert state is socket_state.SocketState.UNKNOWN, state
