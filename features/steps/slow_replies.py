"""Steps that read slow replies by the HTTP client of the program."""

import asyncio
import contextlib
import datetime

from behave import then, when

from monsoonhoist.node import curl, http_call, http_fetch

CHUNK = b"x" * 100


@when(
    "a reply in {count:d} chunks, one every {interval_ms:d} ms, {end},"
    " is read with timeouts of {timeout_ms:d} ms"
)
def read_slow_reply(context, count, interval_ms, end, timeout_ms):
    """Serves the reply on a free port of the loopback address and reads it."""
    sent_count = count if end == "all of which arrive" else count - 1

    async def serve(reader, writer):
        # The handler is cancelled at the end of the step, which asyncio would log as an error.
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            length = count * len(CHUNK)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
            for _ in range(sent_count):
                writer.write(CHUNK)
                await writer.drain()
                await asyncio.sleep(interval_ms / 1000)
            await reader.read()
        writer.close()

    async def read():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        driver = curl.CurlDriver(datetime.timedelta(seconds=1))
        timeout = datetime.timedelta(milliseconds=timeout_ms)
        call = http_call.HttpCall("GET", f"http://127.0.0.1:{port}/", b"", timeout, timeout)
        try:
            return await http_fetch.fetch(driver, call, timeout)
        finally:
            driver.close()
            server.close()

    context.reply = asyncio.run(read())
    context.expected_body = CHUNK * count


@then("the reply is received")
def check_received(context):
    """Checks the whole reply."""
    assert context.reply.status == 200, context.reply
    assert context.reply.body == context.expected_body, len(context.reply.body)


@then("the reply is given up")
def check_given_up(context):
    """Checks that there is no reply."""
    assert context.reply.status == 0 and context.reply.timed_out, context.reply
