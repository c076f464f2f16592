"""Receiver of one caller's request, which refuses a body over the limit."""

import asyncio

from tornado import httputil

from monsoonhoist.core import data
from monsoonhoist.node import caller_options, caller_stream

# Memory that a header field takes beyond its bytes, in the parsed head and the forwarded request.
FIELD_OVERHEAD_BYTES = 400
# A Content-Length with more digits is over any limit.
LENGTH_DIGITS_MAX = 18
# After a refusal, what the caller still sends is read and dropped for this time and up to this
# size: closing at once would reset the connection before the caller has read the refusal.
LINGER_SECONDS = 1.0
LINGER_BYTES_MAX = 4_194_304


class MessageGuard(httputil.HTTPMessageDelegate):
    """Passes one request on to its handler, unless its body is over the limit.

    Args:
        caller: The caller's stream.
        connection: The caller's HTTP connection.
        delegate: Handler of the request.
        listener: Receives what happens on the connection.
        options: Limits of the server.
    """

    def __init__(
        self,
        caller: caller_stream.CallerStream,
        connection: httputil.HTTPConnection,
        delegate: httputil.HTTPMessageDelegate,
        listener: caller_stream.StreamListener,
        options: caller_options.Options,
    ):
        self._caller = caller
        self._connection = connection
        self._delegate: httputil.HTTPMessageDelegate | None = delegate
        self._is_head_passed_on = False
        self._listener = listener
        self._options = options
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._body_bytes = 0

    def headers_received(
        self, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> object:
        """Passes a head on, or refuses a request that announces a body over the limit."""
        self._start_line = start_line
        self._headers = headers
        self._caller.message = self
        self._caller.state = caller_stream.State.BODY
        self._caller.add_overhead(len(headers) * FIELD_OVERHEAD_BYTES)
        length = headers.get("Content-Length", "")
        if length.isascii() and length.isdecimal():
            limit = self._options.body_bytes_max()
            if len(length) > LENGTH_DIGITS_MAX or int(length) > limit:
                self.refuse(data.Refusal.BODY_TOO_LARGE)
        if self._delegate is None:
            return None
        self._is_head_passed_on = True
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> object:
        """Passes a chunk of the body on; what follows a refusal is dropped."""
        self._body_bytes += len(chunk)
        if self._delegate is None:
            if self._body_bytes > LINGER_BYTES_MAX:
                self._caller.close()
            return None
        if self._body_bytes > self._options.body_bytes_max():
            self._body_bytes = 0
            self.refuse(data.Refusal.BODY_TOO_LARGE)
            return None
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        """Passes on that the request is complete."""
        if self._delegate is None:
            self._caller.close()
            return
        self._listener.begin_work(self._caller)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Passes on that the connection was closed within the request."""
        if self._delegate is not None:
            self._delegate.on_connection_close()

    def refuse(self, reason: data.Refusal) -> None:
        """Answers a request that is not complete, drops what it holds, and ends the connection."""
        delegate, self._delegate = self._delegate, None
        if delegate is None or self._caller.closed():
            return
        if reason is data.Refusal.BODY_TOO_LARGE:
            self._listener.record_close(self._caller, "body_too_large")
        if self._is_head_passed_on:
            delegate.on_connection_close()
            # The callback would keep the handler, and with it the body.
            self._connection.set_close_callback(None)
        self._caller.is_refused = True
        self._listener.begin_work(self._caller)
        response = self._options.make_refusal(reason, self._headers)
        headers = httputil.HTTPHeaders({"Connection": "close"})
        for header in response.headers:
            headers.add(header.name, header.value)
        body = b"" if self._start_line.method == "HEAD" else response.body
        headers["Content-Length"] = str(len(body))
        phrase = httputil.responses.get(response.status, "Unknown")
        start_line = httputil.ResponseStartLine("HTTP/1.1", response.status, phrase)
        self._connection.write_headers(start_line, headers, body)
        if "Expect" in self._headers:
            # Tornado would ask for the body, which the caller has not begun to send.
            self._connection.finish()
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_SECONDS, self._caller.close)
