"""Steps with documents, requests and messages between instances that are broken off."""

import asyncio
import contextlib
import datetime
import socket
import time

from behave import given, then, when

from features.steps import broken_off as broken_off_steps
from features.steps import platform_actions, untrusted_callers
from monsoonhoist import client, errors, metrics
from monsoonhoist.core import data
from monsoonhoist.node import config_service, curl, streams, table_reader
from monsoonhoist.platform import reader as store_reader
from monsoonhoist.protocol import messages
from monsoonhoist.tables import eras
from soak import proxy
from standins import broken_off

TIMEOUT = datetime.timedelta(seconds=5)
WAIT = datetime.timedelta(seconds=1)
FRAME_BYTES_MAX = 1_000_000
LENGTH_BYTES = 4
# Time in which an instance processes what a caller has sent.
SETTLE_SECONDS = 0.3
DOCUMENT_BY_PATH = {
    "/api/kv-range": b'{"items": [], "HasMore": false, "CurrentRev": 5}',
    "/api/kv-watch": b'{"events": [], "CurrentRev": 5}',
    "/v1/index": b'{"index": 5, "number_by_key": {}}',
    "/instances": b"[]",
    "/v1/status": b"{}",
}
BREAK = broken_off.FAULT_BY_NAME["no length, all of it, reset"]
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


async def send_document(reader, writer):
    """Answers a request with the document of its path, and resets the connection."""
    with contextlib.suppress(asyncio.CancelledError, ConnectionError):
        head = await reader.readuntil(b"\r\n\r\n")
        path = head.split(b" ")[1].partition(b"?")[0].decode()
        writer.write(broken_off.encode(STATUS_LINE, DOCUMENT_BY_PATH[path], BREAK))
        await asyncio.sleep(BREAK.delay_seconds)
        broken_off.prepare_end(writer.get_extra_info("socket"), BREAK)
    writer.transport.abort()


@given("a server that sends whole documents without a length and resets its connections")
def define_server(context):
    """Defines the server."""
    context.answer = send_document


async def read_document(context, read):
    """Runs the server while a document is read.

    Args:
        context: The scenario.
        read: Function of an address and an HTTP client that reads a document.
    """
    server = await asyncio.start_server(context.answer, "127.0.0.1", 0)
    driver = curl.CurlDriver(TIMEOUT)
    try:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return await read(address, driver)
    finally:
        driver.close()
        server.close()


def check_refused(context, read, error_type):
    """Checks that reading a document fails."""
    try:
        document = asyncio.run(read_document(context, read))
    except error_type:
        return
    raise AssertionError(f"taken: {document}")


def make_counters():
    """Returns the metrics of a reader."""
    return metrics.Metrics(data.InstanceId("reader"))


def make_config_client(address, driver):
    """Returns a client of the native configuration service and of the instance list."""
    return config_service.ConfigServiceClient(
        f"http://{address}", f"http://{address}/instances", driver, make_counters()
    )


@then("the client of the store, for a page, takes none of them")
def check_page(context):
    """Reads a page of items."""

    async def read(address, driver):
        store_client = store_reader.StoreClient(address, driver, make_counters())
        return await store_client.read_page("", "")

    check_refused(context, read, table_reader.ConfigServiceError)


@then("the client of the store, for changes, takes none of them")
def check_changes(context):
    """Reads changes of items."""

    async def read(address, driver):
        store_client = store_reader.StoreClient(address, driver, make_counters())
        return await store_client.watch("", 1, WAIT)

    check_refused(context, read, table_reader.ConfigServiceError)


@then("the client of the native configuration takes none of them")
def check_index(context):
    """Reads the revisions of the native configuration."""

    async def read(address, driver):
        return await make_config_client(address, driver).watch(1, eras.UNSTATED, WAIT)

    check_refused(context, read, table_reader.ConfigServiceError)


@then("the client of the instance list takes none of them")
def check_instances(context):
    """Reads the instance list."""

    async def read(address, driver):
        return await make_config_client(address, driver).fetch_instances()

    check_refused(context, read, table_reader.ConfigServiceError)


@then("the client of the commands takes none of them")
def check_status(context):
    """Reads the status of an instance."""

    async def read(address, driver):
        return await asyncio.to_thread(client.Client(f"http://{address}").status)

    check_refused(context, read, client.ClientError)


@when("a caller sends a request with {sent}, and the connection is {ended}")
def send_part(context, sent, ended):
    """Sends a part of a request to an instance, and ends the connection."""
    context.request_id = platform_actions.next_request_id()
    context.request_ids.append(context.request_id)
    field = f"X-Request-Id: {context.request_id}"
    request = {
        "a part of its head": untrusted_callers.make_head("/record/x", field)[:-2],
        "a length and half its body": (
            untrusted_callers.make_head("/record/x", field, "Content-Length: 8") + b"half"
        ),
        "chunks without the last one": (
            untrusted_callers.make_head("/record/x", field, "Transfer-Encoding: chunked")
            + b"4\r\nbody\r\n"
        ),
    }[sent]
    _, address = untrusted_callers.find_target(context, 1)
    connection = socket.create_connection(address)
    connection.sendall(request)
    time.sleep(broken_off.DELAY_SECONDS)
    if ended == "reset":
        broken_off.set_reset(connection)
    connection.close()
    time.sleep(SETTLE_SECONDS)


@then("no server has received the request")
def check_not_received(context):
    """Checks the servers' records."""
    assert not context.fleet.received_requests(context.request_id)


@given("a stream on which a message and {sent} arrive")
def define_sent(context, sent):
    """Defines the bytes that arrive."""
    frame = make_frame(messages.HeartbeatReply(1))
    count = {
        "half of a second one": LENGTH_BYTES + (len(frame) - LENGTH_BYTES) // 2,
        "half of the length of another": LENGTH_BYTES // 2,
    }[sent]
    context.sent_bytes = frame + make_frame(messages.HeartbeatReply(2))[:count]


def make_frame(message):
    """Returns the bytes of a message on a stream."""
    body = messages.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


@when("the other side has {ended} it")
def end_stream(context, ended):
    """Lets the bytes arrive at a stream, and ends its connection."""

    async def run():
        loop = asyncio.get_running_loop()
        received, lost = [], loop.create_future()
        server = await loop.create_server(
            lambda: streams.MessageStream(
                FRAME_BYTES_MAX, FRAME_BYTES_MAX, received.append, lost.set_result
            ),
            "127.0.0.1",
            0,
        )
        connection = socket.create_connection(server.sockets[0].getsockname())
        connection.sendall(context.sent_bytes)
        await asyncio.sleep(broken_off.DELAY_SECONDS)
        if ended == "reset":
            broken_off.set_reset(connection)
        connection.close()
        context.loss = await asyncio.wait_for(lost, TIMEOUT.total_seconds())
        context.received = received
        server.close()

    asyncio.run(run())


@then("the first message has been passed on, and the loss of the stream")
def check_stream(context):
    """Checks what the stream has passed on."""
    assert context.received == [messages.HeartbeatReply(1)], context.received
    assert isinstance(context.loss, (OSError, errors.StreamError)), context.loss


@when("{side} has {ended} a connection through a proxy of the soak after some data")
def end_proxied(context, side, ended):
    """Sends data through a proxy, ends the connection, and reads what has arrived."""

    async def run():
        accepted = asyncio.get_running_loop().create_future()
        server = await asyncio.start_server(
            lambda reader, writer: accepted.set_result(writer), "127.0.0.1", 0
        )
        running_proxy = proxy.Proxy(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        host, _, port = (await running_proxy.start("127.0.0.1", 0)).rpartition(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.setblocking(False)
            writer = await accepted
            writer.write(b"data")
            await asyncio.sleep(broken_off.DELAY_SECONDS)
            if side == "the proxy":
                running_proxy.inject_fault(ended, proxy.ANY_SOURCE)
            elif ended == "reset":
                broken_off.set_reset(writer.get_extra_info("socket"))
            writer.transport.abort()
            await asyncio.sleep(10 * broken_off.DELAY_SECONDS)
            context.result = broken_off_steps.read_all(connection)
        await running_proxy.close()
        server.close()

    asyncio.run(run())


@then("reading it {result}")
def check_result(context, result):
    """Checks what reading the connection reported."""
    assert context.result == result, context.result
