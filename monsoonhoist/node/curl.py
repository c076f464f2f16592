"""HTTP client for many short calls: the curl multi interface on the event loop.

Calls can be bounded by a deadline, and non-repeatable calls use a connection of their
own, because curl itself sends a request again when a reused connection turns out dead.
"""

import asyncio
import collections
import datetime
import io
from collections.abc import Callable

import msgspec
import pycurl

from monsoonhoist.core import exchange

MS_PER_SECOND = 1000
IDLE_HANDLES_MAX = 256
RESPONSE_BYTES_MAX = 8_388_608
IDLE_CONNECTIONS_MAX = 4096


class HttpCall(msgspec.Struct, frozen=True):
    """A call to make.

    Attributes:
        method: HTTP method.
        url: Where to.
        body: Request body; sent only if it is not empty, or with POST.
        timeout: Longest duration of the whole call.
        connect_timeout: Longest duration of connecting.
        own_connection: Whether to use a new connection and to close it afterwards.
        headers: Header lines; a line that ends with a colon leaves a header out.
        expected_header: Header that the response must have with just this value, if it
            has the header at all; another value ends the call and the connection.
    """

    method: str
    url: str
    body: bytes
    timeout: datetime.timedelta
    connect_timeout: datetime.timedelta
    own_connection: bool = False
    headers: tuple[str, ...] = ()
    expected_header: exchange.Header | None = None


class HttpReply(msgspec.Struct, frozen=True):
    """How a call ended.

    Attributes:
        status: HTTP status; 0 if no response was received whole.
        body: Response body.
        sent: Whether any byte of the request may have been sent.
        timed_out: Whether the call ended at its timeout.
        error: curl's message; empty with a response.
        headers: Header fields of the response.
        is_foreign: Whether the call ended because the response was not to it.
    """

    status: int
    body: bytes
    sent: bool
    timed_out: bool
    error: str
    headers: tuple[exchange.Header, ...] = ()
    is_foreign: bool = False


class Transfer:
    """A call in progress."""

    def __init__(
        self,
        handle: pycurl.Curl,
        on_done: Callable[[HttpReply], None],
        expected_header: exchange.Header | None,
    ):
        self.handle = handle
        self.on_done = on_done
        self.body = io.BytesIO()
        self.headers: list[exchange.Header] = []
        self.is_foreign = False
        self._expected_header = expected_header

    def handle_header(self, line: bytes) -> int | None:
        """Takes a header line; -1 makes curl end the call and its connection."""
        name, separator, value = line.decode("latin-1").partition(":")
        if not separator:
            if line.startswith(b"HTTP/"):
                self.headers.clear()
            return None
        header = exchange.Header(name.strip(), value.strip())
        self.headers.append(header)
        expected = self._expected_header
        if expected is not None and header.name.lower() == expected.name.lower():
            self.is_foreign = header.value != expected.value
        return -1 if self.is_foreign else None

    def write_body(self, chunk: bytes) -> int:
        """Takes a chunk of the body; a short count makes curl end the call."""
        if self.body.tell() + len(chunk) > RESPONSE_BYTES_MAX:
            return 0
        return self.body.write(chunk)


class CurlDriver:
    """Runs calls on one curl multi handle.

    Args:
        idle_timeout: Connections idle for longer are not used again.
    """

    def __init__(self, idle_timeout: datetime.timedelta):
        self._idle_seconds = max(1, round(idle_timeout.total_seconds()))
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, IDLE_CONNECTIONS_MAX)
        self._timer: asyncio.TimerHandle | None = None
        self._transfer_by_handle: dict[pycurl.Curl, Transfer] = {}
        self._idle_handles: collections.deque[pycurl.Curl] = collections.deque()
        self._watched_sockets: set[int] = set()

    def start(self, call: HttpCall, on_done: Callable[[HttpReply], None]) -> Transfer:
        """Starts a call; ``done`` is called once with its end."""
        handle = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        transfer = Transfer(handle, on_done, call.expected_header)
        self._transfer_by_handle[handle] = transfer
        self._set_options(handle, call, transfer)
        self._multi.add_handle(handle)
        return transfer

    def abort(self, transfer: Transfer) -> None:
        """Ends a call and closes its connection without telling its end."""
        if self._transfer_by_handle.get(transfer.handle) is not transfer:
            return
        del self._transfer_by_handle[transfer.handle]
        self._release(transfer.handle)

    def close(self) -> None:
        """Ends all calls without telling their callers and closes all connections."""
        if self._timer is not None:
            self._timer.cancel()
        for handle in list(self._transfer_by_handle):
            self._multi.remove_handle(handle)
            handle.close()
        self._transfer_by_handle.clear()
        for descriptor in list(self._watched_sockets):
            self._unwatch(descriptor)
        self._multi.close()

    def _set_options(self, handle: pycurl.Curl, call: HttpCall, transfer: Transfer) -> None:
        handle.setopt(pycurl.URL, call.url)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.WRITEFUNCTION, transfer.write_body)
        handle.setopt(pycurl.TIMEOUT_MS, _to_milliseconds(call.timeout))
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, _to_milliseconds(call.connect_timeout))
        handle.setopt(pycurl.MAXAGE_CONN, self._idle_seconds)
        handle.setopt(pycurl.FRESH_CONNECT, int(call.own_connection))
        handle.setopt(pycurl.FORBID_REUSE, int(call.own_connection))
        handle.setopt(pycurl.HEADERFUNCTION, transfer.handle_header)
        handle.setopt(pycurl.PATH_AS_IS, 1)
        if call.method == "POST" or call.body:
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDS, call.body)
        if call.method not in ("GET", "POST") or (call.method == "GET" and call.body):
            handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        if call.method == "HEAD":
            handle.setopt(pycurl.NOBODY, 1)
        if call.headers:
            handle.setopt(pycurl.HTTPHEADER, list(call.headers))

    def _watch_socket(self, what: int, descriptor: int, multi: object, data: object) -> None:
        """Curl's request to watch a socket, or to stop watching it."""
        self._unwatch(descriptor)
        if what == pycurl.POLL_REMOVE:
            return
        self._watched_sockets.add(descriptor)
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            self._loop.add_reader(
                descriptor, self._run_socket_action, descriptor, pycurl.CSELECT_IN
            )
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            self._loop.add_writer(
                descriptor, self._run_socket_action, descriptor, pycurl.CSELECT_OUT
            )

    def _unwatch(self, descriptor: int) -> None:
        if descriptor in self._watched_sockets:
            self._watched_sockets.discard(descriptor)
            self._loop.remove_reader(descriptor)
            self._loop.remove_writer(descriptor)

    def _set_timer(self, milliseconds: int) -> None:
        """Curl's request to be called after a while; -1 to stop."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if milliseconds >= 0:
            delay = milliseconds / MS_PER_SECOND
            self._timer = self._loop.call_later(
                delay, self._run_socket_action, pycurl.SOCKET_TIMEOUT, 0
            )

    def _run_socket_action(self, descriptor: int, events: int) -> None:
        """Lets curl work on a socket, then ends the calls that are done."""
        self._multi.socket_action(descriptor, events)
        while True:
            queued, succeeded, failed = self._multi.info_read()
            # The end of one call may abort another one that has ended as well.
            ended = [(self._transfer_by_handle[handle], 0, "") for handle in succeeded]
            ended += [
                (self._transfer_by_handle[handle], code, text) for handle, code, text in failed
            ]
            for transfer, code, message in ended:
                if self._transfer_by_handle.get(transfer.handle) is transfer:
                    self._finish(transfer, code, message)
            if not queued:
                return

    def _finish(self, transfer: Transfer, code: int, message: str) -> None:
        handle = transfer.handle
        del self._transfer_by_handle[handle]
        reply = HttpReply(
            status=0 if code else handle.getinfo(pycurl.RESPONSE_CODE),
            body=transfer.body.getvalue(),
            sent=handle.getinfo(pycurl.REQUEST_SIZE) > 0,
            timed_out=code == pycurl.E_OPERATION_TIMEDOUT,
            error=message,
            headers=tuple(transfer.headers),
            is_foreign=transfer.is_foreign,
        )
        self._release(handle)
        transfer.on_done(reply)

    def _release(self, handle: pycurl.Curl) -> None:
        """Takes a handle off the multi handle and keeps it for another call."""
        self._multi.remove_handle(handle)
        if len(self._idle_handles) < IDLE_HANDLES_MAX:
            handle.reset()
            self._idle_handles.append(handle)
        else:
            handle.close()


def _to_milliseconds(duration: datetime.timedelta) -> int:
    """Returns whole milliseconds, at least 1, since curl reads 0 as no limit."""
    return max(1, int(duration.total_seconds() * MS_PER_SECOND))
