"""HTTP client for many short calls: the curl multi interface on the event loop.

Each call has a timeout. Non-repeatable calls use a new connection, since the server may close one
that is kept just when a request is sent on it, and it is then unknown whether the request has run.
"""

import asyncio
import collections
import datetime
import logging
from collections.abc import Callable

import pycurl

from monsoonhoist.node import (
    curl_events,
    curl_transfer,
    held_transfers,
    http_call,
    request_target,
    single_sending,
    socket_state,
)

MS_PER_SECOND = 1000
# Most handles of finished calls that are kept for reuse.
IDLE_HANDLES_MAX = 256
# Default of the most bytes that all responses in progress may hold together.
RESPONSES_BYTES_MAX = 67_108_864
# Most connections that curl keeps for reuse, to all servers together, if descriptors allow.
IDLE_CONNECTIONS_MAX = 4096
# Encoding of request lines and header fields, which keeps all bytes.
HEADER_ENCODING = "latin-1"

_log = logging.getLogger(__name__)


class CurlDriver:
    """Runs calls on one curl multi handle.

    Args:
        idle_timeout: Idle time after which a connection is not reused.
        responses_bytes_max: Most bytes that the responses in progress, and the bodies of calls,
            may hold together. If there are more, the calls with the longest are ended.
        idle_connections_max: Most connections that are kept for reuse.

    Attributes:
        on_ended_connection: Called when a kept connection could not be reused, since it had ended
            or held bytes.
    """

    def __init__(
        self,
        idle_timeout: datetime.timedelta,
        responses_bytes_max: int = RESPONSES_BYTES_MAX,
        idle_connections_max: int = IDLE_CONNECTIONS_MAX,
    ):
        self._held: held_transfers.HeldTransfers[curl_transfer.Transfer] = (
            held_transfers.HeldTransfers(responses_bytes_max, self._end_defective)
        )
        self._idle_seconds = max(1, round(idle_timeout.total_seconds()))
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self.on_ended_connection: Callable[[], None] = lambda: None
        self._connections = single_sending.KeptConnections()
        self._events = curl_events.EventWatcher(self._loop, self._run_socket_action)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._events.watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._events.set_timer)
        kept_max = min(idle_connections_max, IDLE_CONNECTIONS_MAX)
        self._multi.setopt(pycurl.M_MAXCONNECTS, kept_max)
        self._event_count = curl_transfer.EventCount()
        self._transfer_by_handle: dict[pycurl.Curl, curl_transfer.Transfer] = {}
        self._idle_handles: collections.deque[pycurl.Curl] = collections.deque()

    def start(
        self, call: http_call.HttpCall, on_done: Callable[[http_call.HttpReply], None]
    ) -> curl_transfer.Transfer:
        """Starts a call; ``on_done`` is called once with its result."""
        handle = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        guard = single_sending.SendGuard(self._connections) if call.is_sent_once else None
        transfer = curl_transfer.Transfer(
            handle, on_done, call, self._held.add, self._end_soon, self._event_count, guard
        )
        self._set_options(handle, call, transfer)
        self._transfer_by_handle[handle] = transfer
        self._multi.add_handle(handle)
        self._held.add_body(transfer, call.body)
        return transfer

    def abort(self, transfer: curl_transfer.Transfer) -> None:
        """Ends a call and closes its connection without calling ``on_done``."""
        if self._transfer_by_handle.get(transfer.handle) is not transfer:
            return
        del self._transfer_by_handle[transfer.handle]
        self._held.release(transfer)
        self._release(transfer.handle)

    def _end_soon(self, transfer: curl_transfer.Transfer) -> None:
        # curl must not be called from its own callback.
        self._loop.call_soon(self._end_defective, transfer)

    def _end_defective(self, transfer: curl_transfer.Transfer) -> None:
        """Ends a call whose response is not accepted, unless it has ended."""
        if self._transfer_by_handle.get(transfer.handle) is transfer:
            self._finish(transfer, pycurl.E_WRITE_ERROR, "")

    def close(self) -> None:
        """Ends all calls without calling ``on_done`` and closes all connections."""
        for handle in list(self._transfer_by_handle):
            self._multi.remove_handle(handle)
            handle.close()
        self._transfer_by_handle.clear()
        self._events.close()
        self._multi.close()

    def _set_options(
        self, handle: pycurl.Curl, call: http_call.HttpCall, transfer: curl_transfer.Transfer
    ) -> None:
        handle.setopt(pycurl.URL, call.url.encode(HEADER_ENCODING))
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.WRITEFUNCTION, transfer.write_body)
        handle.setopt(pycurl.TIMEOUT_MS, _to_milliseconds(call.timeout))
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, _to_milliseconds(call.connect_timeout))
        handle.setopt(pycurl.MAXAGE_CONN, self._idle_seconds)
        if call.own_connection:
            handle.setopt(pycurl.FRESH_CONNECT, 1)
            handle.setopt(pycurl.FORBID_REUSE, 1)
        handle.setopt(pycurl.HEADERFUNCTION, transfer.handle_header)
        handle.setopt(pycurl.VERBOSE, 1)
        handle.setopt(pycurl.DEBUGFUNCTION, transfer.handle_debug)
        if call.target:
            handle.setopt(pycurl.REQUEST_TARGET, request_target.encode(call.target))
        else:
            handle.setopt(pycurl.PATH_AS_IS, 1)
        if transfer.send_guard is not None:
            transfer.send_guard.set_options(handle)
        if call.method == "POST" or call.body:
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDS, call.body)
        if call.method not in ("GET", "POST") or (call.method == "GET" and call.body):
            handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        if call.method == "HEAD":
            handle.setopt(pycurl.NOBODY, 1)
        if call.headers:
            lines = [line.encode(HEADER_ENCODING) for line in call.headers]
            handle.setopt(pycurl.HTTPHEADER, lines)

    def _run_socket_action(self, descriptor: int, event_mask: int) -> None:
        """Lets curl process a socket or its timer, then reports the calls that are finished."""
        self._event_count.value += 1
        if event_mask == pycurl.CSELECT_IN and socket_state.has_ended(descriptor):
            self._end_unanswered(descriptor)
        self._multi.socket_action(descriptor, event_mask)
        while True:
            queued, succeeded, failed = self._multi.info_read()
            # All transfers are looked up first, since the callback of one may abort another.
            finished = [(self._transfer_by_handle[handle], 0, "") for handle in succeeded]
            finished += [
                (self._transfer_by_handle[handle], code, text) for handle, code, text in failed
            ]
            for transfer, code, message in finished:
                if self._transfer_by_handle.get(transfer.handle) is transfer:
                    self._finish(transfer, code, message)
            if not queued:
                return

    def _end_unanswered(self, descriptor: int) -> None:
        """Ends the call on a connection that ended before its response.

        Otherwise curl chooses an idle connection to resend, is refused, and closes that one too.
        """
        for handle, transfer in self._transfer_by_handle.items():
            if transfer.awaits_response() and handle.getinfo(pycurl.ACTIVESOCKET) == descriptor:
                self._finish(transfer, pycurl.E_RECV_ERROR, "the connection ended unanswered")
                return

    def _finish(self, transfer: curl_transfer.Transfer, code: int, message: str) -> None:
        handle = transfer.handle
        if transfer.send_guard is not None and transfer.send_guard.take_restart():
            self.on_ended_connection()
            self._multi.remove_handle(handle)
            self._multi.add_handle(handle)
            return
        del self._transfer_by_handle[handle]
        self._held.release(transfer)
        reply = transfer.make_reply(code, message)
        if reply.defect is not None and not code:
            # curl would keep the connection.
            socket_state.shut_down(handle.getinfo(pycurl.ACTIVESOCKET))
        self._release(handle)
        try:
            transfer.on_done(reply)
        except Exception:
            # The other calls that ended at the same time must still be reported.
            _log.exception("end of a call not handled")

    def _release(self, handle: pycurl.Curl) -> None:
        """Removes a handle from the multi handle and keeps it for reuse if there is room."""
        self._multi.remove_handle(handle)
        if len(self._idle_handles) < IDLE_HANDLES_MAX:
            handle.reset()
            self._idle_handles.append(handle)
        else:
            handle.close()


def _to_milliseconds(duration: datetime.timedelta) -> int:
    """Returns whole milliseconds, at least 1, since curl interprets 0 as no limit."""
    return max(1, int(duration.total_seconds() * MS_PER_SECOND))
