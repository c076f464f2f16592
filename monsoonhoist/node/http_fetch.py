"""HTTP request whose timeout applies to the time without a byte, not to the whole response."""

import asyncio
import datetime

import msgspec

from monsoonhoist.node import curl, http_call

# Longest time without a byte once a response has begun.
STALL_TIMEOUT = datetime.timedelta(seconds=2)
# Longest time of a whole response. The limit of its length already ends most endless ones.
RESPONSE_TIMEOUT = datetime.timedelta(seconds=60)


async def fetch(
    driver: curl.CurlDriver,
    call: http_call.HttpCall,
    stall_timeout: datetime.timedelta = STALL_TIMEOUT,
) -> http_call.HttpReply:
    """Makes a call and returns its reply, which has status 0 if the response was given up.

    A long reply on a slow link takes longer than a timeout that detects a silent service soon
    enough. It is therefore not given up while bytes arrive, for at most ``RESPONSE_TIMEOUT``.

    Args:
        driver: HTTP client.
        call: The call; its timeout applies until the first byte of the response.
        stall_timeout: Longest time without a byte after the first.
    """
    reply_future: asyncio.Future[http_call.HttpReply] = asyncio.get_running_loop().create_future()
    long_call = msgspec.structs.replace(call, timeout=call.timeout + RESPONSE_TIMEOUT)
    transfer = driver.start(long_call, reply_future.set_result)
    timeout = call.timeout
    received_bytes = 0
    try:
        while True:
            await asyncio.wait((reply_future,), timeout=timeout.total_seconds())
            if reply_future.done():
                return reply_future.result()
            if transfer.received_bytes == received_bytes:
                break
            received_bytes = transfer.received_bytes
            timeout = stall_timeout
    except asyncio.CancelledError:
        driver.abort(transfer)
        raise
    driver.abort(transfer)
    error = f"no byte within {timeout.total_seconds():g} s, after {received_bytes} bytes"
    return http_call.HttpReply(0, b"", True, True, error)
