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

MS_PER_SECOND = 1000
IDLE_HANDLES_MAX = 256
RESPONSE_BYTES_MAX = 8_388_608
IDLE_CONNECTIONS_MAX = 4096


class HttpCall(msgspec.Struct, frozen=True):
    """A call to make.

    Attributes:
        method: HTTP method.
        url: Where to.
        body: Request body; sent only with POST.
        timeout: Longest duration of the whole call.
        connect_timeout: Longest duration of connecting.
        own_connection: Whether to use a new connection and to close it afterwards.
    """

    method: str
    url: str
    body: bytes
    timeout: datetime.timedelta
    connect_timeout: datetime.timedelta
    own_connection: bool = False


class HttpReply(msgspec.Struct, frozen=True):
    """How a call ended.

    Attributes:
        status: HTTP status; 0 if no response was received whole.
        body: Response body.
        sent: Whether any byte of the request may have been sent.
        timed_out: Whether the call ended at its timeout.
        error: curl's message; empty with a response.
    """

    status: int
    body: bytes
    sent: bool
    timed_out: bool
    error: str


class _Transfer:
    """A call in progress."""

    def __init__(self, done: Callable[[HttpReply], None]):
        self.done = done
        self.buffer = io.BytesIO()

    def write(self, chunk: bytes) -> int:
        """Takes a chunk of the body; a short count makes curl end the call."""
        if self.buffer.tell() + len(chunk) > RESPONSE_BYTES_MAX:
            return 0
        return self.buffer.write(chunk)


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
        self._transfer_by_handle: dict[pycurl.Curl, _Transfer] = {}
        self._idle_handles: collections.deque[pycurl.Curl] = collections.deque()
        self._watched: set[int] = set()

    def start(self, call: HttpCall, done: Callable[[HttpReply], None]) -> None:
        """Starts a call; ``done`` is called once with its end."""
        handle = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        transfer = _Transfer(done)
        self._transfer_by_handle[handle] = transfer
        self._set_options(handle, call, transfer)
        self._multi.add_handle(handle)

    def close(self) -> None:
        """Ends all calls without telling their callers and closes all connections."""
        if self._timer is not None:
            self._timer.cancel()
        for handle in list(self._transfer_by_handle):
            self._multi.remove_handle(handle)
            handle.close()
        self._transfer_by_handle.clear()
        for descriptor in list(self._watched):
            self._unwatch(descriptor)
        self._multi.close()

    def _set_options(self, handle: pycurl.Curl, call: HttpCall, transfer: _Transfer) -> None:
        handle.setopt(pycurl.URL, call.url)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.WRITEFUNCTION, transfer.write)
        handle.setopt(pycurl.TIMEOUT_MS, _milliseconds(call.timeout))
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, _milliseconds(call.connect_timeout))
        handle.setopt(pycurl.MAXAGE_CONN, self._idle_seconds)
        handle.setopt(pycurl.FRESH_CONNECT, int(call.own_connection))
        handle.setopt(pycurl.FORBID_REUSE, int(call.own_connection))
        if call.method == "POST":
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDS, call.body)
            handle.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
        elif call.method != "GET":
            handle.setopt(pycurl.CUSTOMREQUEST, call.method)

    def _watch_socket(self, what: int, descriptor: int, multi: object, data: object) -> None:
        """Curl's request to watch a socket, or to stop watching it."""
        self._unwatch(descriptor)
        if what == pycurl.POLL_REMOVE:
            return
        self._watched.add(descriptor)
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            self._loop.add_reader(descriptor, self._act, descriptor, pycurl.CSELECT_IN)
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            self._loop.add_writer(descriptor, self._act, descriptor, pycurl.CSELECT_OUT)

    def _unwatch(self, descriptor: int) -> None:
        if descriptor in self._watched:
            self._watched.discard(descriptor)
            self._loop.remove_reader(descriptor)
            self._loop.remove_writer(descriptor)

    def _set_timer(self, milliseconds: int) -> None:
        """Curl's request to be called after a while; -1 to stop."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if milliseconds >= 0:
            delay = milliseconds / MS_PER_SECOND
            self._timer = self._loop.call_later(delay, self._act, pycurl.SOCKET_TIMEOUT, 0)

    def _act(self, descriptor: int, events: int) -> None:
        """Lets curl work on a socket, then ends the calls that are done."""
        self._multi.socket_action(descriptor, events)
        while True:
            queued, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                self._end(handle, 0, "")
            for handle, code, message in failed:
                self._end(handle, code, message)
            if not queued:
                return

    def _end(self, handle: pycurl.Curl, code: int, message: str) -> None:
        transfer = self._transfer_by_handle.pop(handle)
        reply = HttpReply(
            status=0 if code else handle.getinfo(pycurl.RESPONSE_CODE),
            body=transfer.buffer.getvalue(),
            sent=handle.getinfo(pycurl.REQUEST_SIZE) > 0,
            timed_out=code == pycurl.E_OPERATION_TIMEDOUT,
            error=message,
        )
        self._multi.remove_handle(handle)
        if len(self._idle_handles) < IDLE_HANDLES_MAX:
            handle.reset()
            self._idle_handles.append(handle)
        else:
            handle.close()
        transfer.done(reply)


def _milliseconds(duration: datetime.timedelta) -> int:
    """Returns whole milliseconds, at least 1, since curl reads 0 as no limit."""
    return max(1, int(duration.total_seconds() * MS_PER_SECOND))
